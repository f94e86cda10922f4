"""Measures routing policies side by side; prints the tables of docs/MEASUREMENTS.md.

Usage: measure_requests.py BUILD_FOLDER
"""

import os
import pathlib
import signal
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "Tests" / "System"))

import cluster as testing  # noqa: E402

MINIONS = 6
SLOTS = 8
WORK_MS = 50
CAPACITY_PER_S = MINIONS * SLOTS * 1000 / WORK_MS
SECONDS = 3
DEADLINE_MS = 1000
ROUTINGS = ("least_loaded", "round_robin", "random_two")
QUEUE_ORDERS = ("first_in", "earliest_deadline", "last_in")
LOADS = (0.5, 0.9, 1.2, 3.0)
FAULT_LOAD = 0.5
SLOW_MS = 450
COST_RATE = 200


def topology():
    return testing.one_region_of_minions(MINIONS, WORK_MS)


def start_cluster(build, **gateway_settings):
    system = testing.Cluster(build, topology(), gateway_settings=gateway_settings)
    system.start()
    system.set_up_accounts(rate_per_s=100000, concurrency=4096)
    return system


def gateways(system):
    return [system.gateway(entry) for entry in system.topology.entries]


def minion_states(system):
    return [system.minion_state(m) for m in system.topology.minions]


def wait_until_idle(system):
    testing.wait_until(lambda: all(s["busy"] == 0 for s in minion_states(system)), "idle minions")


def run(system, load, seed, deadline_ms=DEADLINE_MS, during=None, **more):
    """Runs one load; adds wasted work: runs whose response was late or lost."""
    wait_until_idle(system)
    before = sum(s["runs"] for s in minion_states(system))
    process = system.start_load(
        gateways(system), "council", load * CAPACITY_PER_S, SECONDS, deadline_ms, seed=seed, **more
    )
    if during:
        during()
    report = system.read_load(process)
    wait_until_idle(system)
    runs = sum(s["runs"] for s in minion_states(system)) - before
    report["wasted"] = runs - report["done_in_time"]
    return report


def print_row(*cells):
    print("| " + " | ".join(str(c) for c in cells) + " |")


def print_report(name, policy, report):
    counts = report["counts"]
    print_row(
        name,
        policy,
        report["offered"],
        f"{report['goodput_per_s']:.0f}",
        f"{report.get('p50_ms', 0):.0f}",
        f"{report.get('p99_ms', 0):.0f}",
        counts.get("not_run", 0),
        counts.get("failed", 0) + counts.get("unknown", 0) + counts.get("no_answer", 0),
        report["wasted"],
    )


def print_header(first):
    print_row(
        first, "policy", "offered", "goodput /s", "p50 ms", "p99 ms",
        "refused", "failed, unknown or cut", "wasted runs",
    )
    print("|" + "---|" * 9)


def measure_routing(build):
    print(f"\nCapacity {CAPACITY_PER_S:.0f}/s, deadline {DEADLINE_MS} ms, {SECONDS} s each.\n")
    print_header("load or fault")
    for routing in ROUTINGS:
        system = start_cluster(build, routing=routing)
        try:
            for seed, load in enumerate(LOADS):
                print_report(f"{load}x", routing, run(system, load, seed))
            system.minion_state("minion-0", slow_ms=SLOW_MS)
            print_report("slow minion, 0.5x", routing, run(system, FAULT_LOAD, 11))
            system.minion_state("minion-0", slow_ms=0, failing=True)
            print_report("failing minion, 0.5x", routing, run(system, FAULT_LOAD, 12))
        finally:
            system.stop()
        # A new cluster: minions ejected in the runs above would reduce the capacity.
        system = start_cluster(build, routing=routing)
        try:
            report = run(
                system, FAULT_LOAD, 13, during=lambda: system.kill("entry-3/gateway", signal.SIGKILL)
            )
            print_report("gateway killed, 0.5x", routing, report)
        finally:
            system.stop()


def measure_queue_order(build):
    print(f"\nDeadlines drawn evenly from 200 to 2000 ms, {SECONDS} s each.\n")
    print_header("load")
    for order in QUEUE_ORDERS:
        system = start_cluster(build, queue_order=order)
        try:
            for seed, load in enumerate((1.2, 3.0)):
                report = run(system, load, 20 + seed, deadline_ms=200, max_deadline_ms=2000)
                print_report(f"{load}x", order, report)
        finally:
            system.stop()


def cpu_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_cost(build):
    system = start_cluster(build)
    try:
        gateway = system.processes["entry-1/gateway"]
        direct = system.read_load(
            system.start_load(
                [system.minion("minion-0"), system.minion("minion-2")],
                "council", COST_RATE, 2 * SECONDS, seed=31, path="/v1/run",
            )
        )
        before = cpu_seconds(gateway)
        through = system.read_load(
            system.start_load(
                [system.gateway("entry-1")], "council", COST_RATE, 2 * SECONDS, seed=31
            )
        )
        spent = cpu_seconds(gateway) - before
        print("\n")
        print_row("way", "requests", "p50 ms", "p99 ms", "gateway CPU per request, us")
        print("|" + "---|" * 5)
        print_row("direct", direct["offered"], direct["p50_ms"], direct["p99_ms"], "")
        print_row(
            "through a gateway", through["offered"], through["p50_ms"], through["p99_ms"],
            f"{spent / through['offered'] * 1e6:.0f}",
        )
    finally:
        system.stop()


def main():
    build = sys.argv[1] if len(sys.argv) > 1 else ROOT / "Build"
    measure_routing(build)
    measure_queue_order(build)
    measure_cost(build)


if __name__ == "__main__":
    main()
