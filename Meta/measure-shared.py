#!/usr/bin/env python3
"""Measures what is shared: edits in force, takeovers, fresh VMs, idle costs.

Usage: measure-shared.py BUILD_FOLDER [--json FILE] [PART...]
Parts: edits loss takeover boot idle; all of them when none is named.
"""

import argparse
import json
import os
import pathlib
import random
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "Tests" / "System"))

import cluster as testing  # noqa: E402
from cluster import wait_until  # noqa: E402

EDITS = 200
LOAD_THREADS = 8
BOOT_ROWS = (100, 1000, 10000)
IDLE_SECONDS = 10
BETWEEN_REGIONS_MS = 20
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def nine_vms():
    """Three entry VMs in each of three data centres, two regions."""
    topology = testing.small_glintwater()
    topology.entries = {
        f"entry-{1 + i}": data_centre
        for i, data_centre in enumerate(name for name in topology.data_centres for _ in range(3))
    }
    topology.workers = topology.workers[:1]
    topology.minions = {"minion-1": "hobart-a", "minion-2": "launceston-a"}
    return topology


def start(build, **options):
    system = testing.Cluster(build, nine_vms(), proxy=True, **options).__enter__()
    entries = list(system.topology.entries)
    for entry in entries:
        remote = system.region_of(entry) != "tas-south"
        if remote:
            system.faults(f"log/{entry}", delay_ms=BETWEEN_REGIONS_MS)
        for other in entries:
            if system.region_of(entry) != system.region_of(other):
                system.faults(f"bus/{entry}/{other}/", delay_ms=BETWEEN_REGIONS_MS)
    return system


def percentiles(samples):
    ordered = sorted(samples)
    pick = lambda share: ordered[min(len(ordered) - 1, int(share * len(ordered)))]  # noqa: E731
    return {"n": len(ordered), "p50": pick(0.5), "p99": pick(0.99), "max": ordered[-1]}


def edit_everywhere(system, entry, row):
    """Edits a row; returns the milliseconds until the response and its `in_force`."""
    started = time.monotonic()
    path = f"/v1/table/{row['account']}?wait=everywhere"
    answer = system.operator(entry, "PUT", path, row)
    spent = (time.monotonic() - started) * 1000
    assert answer.status == 200, answer.body
    return spent, answer.json()["in_force"]


def edit_series(system, count):
    samples = []
    not_everywhere = 0
    answer = system.operator("entry-1", "GET", "/v1/table/council")
    version = answer.json().get("version", 0)
    for i in range(count):
        row = {"account": "council", "version": version + i, "weight": 1 + i}
        spent, in_force = edit_everywhere(system, "entry-1", row)
        samples.append(round(spent, 1))
        not_everywhere += 0 if in_force["everywhere"] else 1
    return {**percentiles(samples), "not_everywhere": not_everywhere}


def with_requests(system, work):
    """Runs `work` while threads send requests to LOAD_THREADS gateways."""
    stop = threading.Event()
    sent = [0]

    def send(entry):
        while not stop.is_set():
            system.request(entry, "load", "x")
            sent[0] += 1

    system.set_up_accounts(("load",))
    entries = list(system.topology.entries)[:LOAD_THREADS]
    threads = [threading.Thread(target=send, args=(entry,), daemon=True) for entry in entries]
    for thread in threads:
        thread.start()
    started = time.monotonic()
    result = work()
    result["requests_per_s"] = round(sent[0] / (time.monotonic() - started))
    stop.set()
    for thread in threads:
        thread.join()
    return result


def with_connection_loss(system, work):
    """Runs `work` while each second a random 1% of the routes is cut once."""
    stop = threading.Event()
    generator = random.Random(1)
    routes = [name for name in system.routes if name.startswith(("bus/", "log/"))]

    def cut_routes():
        while not stop.is_set():
            for name in generator.sample(routes, max(1, len(routes) // 100)):
                system.faults(name, cut=True)
                system.faults(name, cut=False)
            stop.wait(1)

    thread = threading.Thread(target=cut_routes, daemon=True)
    thread.start()
    result = work()
    stop.set()
    thread.join()
    return result


def measure_edits(build):
    system = start(build)
    try:
        rest = edit_series(system, EDITS)
        appends = system.platform_faults()["table"]["appends"]
        loaded = with_requests(system, lambda: edit_series(system, EDITS))
    finally:
        system.stop()
    return {"at rest, ms": rest, "under load, ms": loaded, "appends at rest": appends}


def measure_loss(build):
    system = start(build)
    try:
        lossy = with_connection_loss(system, lambda: edit_series(system, EDITS))
    finally:
        system.stop()
    return {"1% of the connections lost each second, ms": lossy}


def measure_takeover(build):
    """Time from the loss of a reader until an edit is in force in its region."""
    results = {}
    for name in ("killed", "path frozen"):
        samples = []
        for _ in range(5):
            system = start(build)
            try:
                edit_series(system, 1)
                started = time.monotonic()
                if name == "killed":
                    system.kill("entry-1/relay")
                else:
                    system.faults("log/entry-1", freeze=True)
                row = {"version": 1, "weight": 9}
                answer = system.operator("entry-2", "PUT", "/v1/table/council", row)
                assert answer.status == 200, answer.body
                samples.append(round((time.monotonic() - started) * 1000))
            finally:
                system.stop()
        results[f"{name}, ms"] = percentiles(samples)
    return results


def fill_table(system, rows):
    """Appends rows directly to the log, in batches."""
    batch = []
    for i in range(rows):
        row = {"account": f"account-{i}", "version": 0, "weight": 1}
        record = {"id": f"fill-{i}", "kind": "row_edited", "format": 1, "body": row}
        batch.append(record)
        if len(batch) == 500 or i + 1 == rows:
            body = {"records": batch}
            testing.call(system.platform, "POST", "/v1/streams/table/records", body)
            batch = []


def measure_boot(build):
    """Time until the gateway of a new VM is ready, by rows in the table."""
    results = {}
    for rows in BOOT_ROWS:
        system = testing.Cluster(build, proxy=True, late=("entry-2", "entry-3")).__enter__()
        try:
            fill_table(system, rows)
            wait_until(lambda: system.status("entry-1")["table_version"] >= rows, "rows", 120)
            cases = (("entry-3", False, "alone, from the log"), ("entry-2", True, "from a peer"))
            for entry, down, name in cases:
                system.platform_faults(down=down)
                started = time.monotonic()
                system.start_vm(entry)
                wait_until(
                    lambda entry=entry: system.status(entry)["table_version"] >= rows, "ready", 120
                )
                spent = round((time.monotonic() - started) * 1000)
                results[f"{rows} rows, {name}, ms"] = spent
        finally:
            system.stop()
    return results


def cost_of(process):
    """Processor seconds and resident megabytes of a process."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    resident = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND, int(resident.split()[1]) / 1024


def bytes_by_sender(system):
    """Bytes on the proxy's routes, by the VM that opened the connection."""
    sums = {}
    remote = 0
    for name, traffic in system.traffic("").items():
        parts = name.split("/")
        if parts[0] not in ("bus", "log", "vms"):
            continue
        total = traffic["bytes_out"] + traffic["bytes_back"]
        sums[parts[1]] = sums.get(parts[1], 0) + total
        region = system.region_of(parts[1])
        other = system.region_of(parts[2]) if parts[0] == "bus" else "tas-south"
        remote += total if region != other else 0
    return sums, remote


def measure_idle(build):
    system = start(build)
    try:
        edit_series(system, 1)
        results = {"at rest": measure_span(system, lambda i: None)}
        version = [1]

        def one_edit(_):
            row = {"version": version[0], "weight": 2 + version[0]}
            answer = system.operator("entry-1", "PUT", "/v1/table/council", row)
            assert answer.status == 200, answer.body
            version[0] += 1

        results["at one edit a second"] = measure_span(system, one_edit)
    finally:
        system.stop()
    return results


def measure_span(system, each_second):
    services = {
        name: process
        for name, process in system.processes.items()
        if name.endswith(testing.ROLES)
    }
    before = {name: cost_of(process)[0] for name, process in services.items()}
    bytes_before, remote_before = bytes_by_sender(system)
    started = time.monotonic()
    for i in range(IDLE_SECONDS):
        each_second(i)
        time.sleep(max(0, started + i + 1 - time.monotonic()))
    span = time.monotonic() - started
    bytes_after, remote_after = bytes_by_sender(system)
    by_role = {role: {"cpu_percent": 0.0, "memory_mb": 0.0} for role in testing.ROLES}
    for name, process in services.items():
        seconds, memory = cost_of(process)
        role = by_role[name.split("/")[1]]
        percent = (seconds - before[name]) / span * 100
        role["cpu_percent"] = round(max(role["cpu_percent"], percent), 2)
        role["memory_mb"] = round(max(role["memory_mb"], memory), 1)
    sent = {entry: (bytes_after[entry] - bytes_before[entry]) / span for entry in bytes_after}
    return {
        "highest by role": by_role,
        "bytes_per_s by VM": {entry: round(rate) for entry, rate in sorted(sent.items())},
        "bytes_per_s between regions": round((remote_after - remote_before) / span),
    }


PARTS = {
    "edits": measure_edits,
    "loss": measure_loss,
    "takeover": measure_takeover,
    "boot": measure_boot,
    "idle": measure_idle,
}


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("build")
    parser.add_argument("parts", nargs="*", choices=[*PARTS, []])
    parser.add_argument("--json", help="file for the figures")
    arguments = parser.parse_args()
    figures = {}
    for name in arguments.parts or PARTS:
        figures[name] = PARTS[name](arguments.build)
        print(json.dumps({name: figures[name]}, indent=1), flush=True)
    if arguments.json:
        pathlib.Path(arguments.json).write_text(json.dumps(figures, indent=1) + "\n")


if __name__ == "__main__":
    main()
