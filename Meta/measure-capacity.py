#!/usr/bin/env python3
"""Measures the slopes of docs/CAPACITY.md and rewrites its two tables.

Usage: measure-capacity.py [BUILD_FOLDER] [--page PAGE] [--only NAME,...] [--raw FILE]

Each slope is a least-squares line over at least four sizes. Processor time is
read from /proc/PID/task/*/schedstat, memory from /proc/PID/status, bytes from
the processes' own counters and, for workers, from the fault proxy. With --only
the tables are printed and the page stays as it is.
"""

import argparse
import concurrent.futures
import dataclasses
import json
import pathlib
import re
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "Tests" / "System"))

import cluster as testing  # noqa: E402

WINDOW_SECONDS = 6
SETTLE_SECONDS = 2


@dataclasses.dataclass
class Slope:
    """A line fitted through the points of one measure."""

    name: str
    per: str  # unit of the size
    unit: str
    points: list  # (size, value)
    intercept: float = 0.0
    slope: float = 0.0
    residual: float = 0.0  # root mean square, as a share of the mean value

    def __post_init__(self):
        count = len(self.points)
        mean_x = sum(x for x, _ in self.points) / count
        mean_y = sum(y for _, y in self.points) / count
        spread = sum((x - mean_x) ** 2 for x, _ in self.points)
        self.slope = sum((x - mean_x) * (y - mean_y) for x, y in self.points) / spread
        self.intercept = mean_y - self.slope * mean_x
        errors = [(y - self.at(x)) ** 2 for x, y in self.points]
        self.residual = (sum(errors) / count) ** 0.5 / max(abs(mean_y), 1e-12)

    def at(self, size):
        return self.intercept + self.slope * size


class WideCluster(testing.Cluster):
    """A cluster whose fleet and VM list also have VMs without a process."""

    def __init__(self, build, absent_workers=0, absent_minions=0, **more):
        super().__init__(build, **more)
        self.absent_workers = testing.rack_of_workers("hobart-a", "", absent_workers, first=1000)
        for index, worker in enumerate(self.absent_workers):
            worker["rack"] = f"wide-{index // 8}"
        self.absent_minions = absent_minions

    def vm_list(self):
        vms = super().vm_list()["vms"]
        names = [(worker["id"], "worker") for worker in self.absent_workers]
        names += [(f"minion-{1000 + i}", "minion") for i in range(self.absent_minions)]
        for name, role in names:
            vms.append(
                {
                    "id": name,
                    "role": role,
                    # Nothing listens on this address.
                    "address": f"{self.network}.240:9",
                    "data_centre": "hobart-a",
                    "region": "tas-south",
                }
            )
        return {"vms": vms}

    def write_settings(self, folder):
        super().write_settings(folder)
        fleet = {"version": 0, "workers": self.topology.workers + self.absent_workers}
        (pathlib.Path(folder) / "fleet.json").write_text(json.dumps(fleet))


def entries(count):
    data_centres = ("hobart-a", "hobart-b", "launceston-a")
    return {f"entry-{i + 1}": data_centres[i % 3] for i in range(count)}


def topology(entry_count=3, workers=8, minions=4):
    cluster_topology = testing.small_glintwater()
    cluster_topology.entries = entries(entry_count)
    cluster_topology.workers = [
        worker
        for rack in range((workers + 7) // 8)
        for worker in testing.rack_of_workers(
            "hobart-a", f"rack-{rack + 1}", min(8, workers - 8 * rack), first=1 + 8 * rack
        )
    ]
    cluster_topology.minions = {f"minion-{i + 1}": "hobart-a" for i in range(minions)}
    return cluster_topology


def cpu_seconds(pid):
    total = 0
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        total += int((task / "schedstat").read_text().split()[0])
    return total / 1e9


def resident_mb(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024


def counter(system, entry, role, name):
    text = testing.call(system.metrics(entry, role), "GET", "/metrics").body
    return sum(float(v) for v in re.findall(rf"^{name}(?:\{{.*\}})? (\S+)$", text, re.M))


def cpu_share(system, names, seconds=WINDOW_SECONDS):
    """Per cent of a core that each process used over a window."""
    pids = {name: system.processes[name].pid for name in names}
    before = {name: cpu_seconds(pid) for name, pid in pids.items()}
    start = time.monotonic()
    time.sleep(seconds)  # the window of the measurement
    span = time.monotonic() - start
    return {name: 100 * (cpu_seconds(pid) - before[name]) / span for name, pid in pids.items()}


def bench(build, measure, sizes):
    results = []
    for size in sizes:
        command = [str(build / "kcm-bench-state"), "--measure", measure, "--size", str(size)]
        output = subprocess.run(command, check=True, capture_output=True, text=True).stdout
        results.append(json.loads(output))
        assert results[-1]["rejected"] == 0, results[-1]
    return results


def points(results, key, scale=1.0):
    return [(result["size"], result[key] * scale) for result in results]


def measure_folds(build):
    """Cost of folding jobs, gangs, edits and submissions, without sockets."""
    jobs = bench(build, "jobs", (1000, 4000, 16000, 64000))
    gangs = bench(build, "gang", (16, 64, 256, 1024))
    rows = bench(build, "rows", (12, 24, 48, 96))
    fleets = bench(build, "fleet", (500, 1000, 2000, 8000))
    checks = bench(build, "submission", (500, 2000, 8000, 20000))
    kb, mb, ms = 1 / 1024, 1 / 1024 / 1024, 1 / 1000
    return [
        Slope("job: memory of a fold", "ended job of 2 members", "MB", points(jobs, "rss_bytes", mb)),
        Slope("job: time to fold its 3 records", "job", "ms", points(jobs, "apply_us", ms)),
        Slope("job: bytes of its 3 records", "job", "KB", points(jobs, "log_bytes", kb)),
        Slope("job: bytes of a snapshot", "job", "KB", points(jobs, "snapshot_bytes", kb)),
        Slope("job: time to write a snapshot", "job", "ms", points(jobs, "snapshot_us", ms)),
        Slope("gang: bytes of a placement", "member", "KB", points(gangs, "log_bytes", kb)),
        Slope("gang: time to fold a placement", "member", "ms", points(gangs, "apply_us", ms)),
        Slope("edit: time to fold one, 1000 workers", "row", "ms", points(rows, "edit_us", ms)),
        Slope("edit: time to fold one, 96 rows", "worker", "ms", points(fleets, "edit_us", ms)),
        Slope("edit: bytes", "row", "KB", points(rows, "edit_bytes", kb)),
        Slope("fleet: bytes of its record", "worker", "KB", points(fleets, "fleet_bytes", kb)),
        Slope("fleet: memory of a fold", "worker", "MB", points(fleets, "rss_bytes", mb)),
        Slope("submission: check against the fleet", "worker", "ms", points(checks, "check_us", ms)),
    ]


def measure_entries(build):
    """Idle processes against the number of entry VMs."""
    sizes = (3, 4, 6, 9)
    cpu = {role: [] for role in testing.ROLES}
    memory = {role: [] for role in testing.ROLES}
    sent = {role: [] for role in testing.ROLES}
    for size in sizes:
        with testing.Cluster(build, topology(size)) as system:
            system.set_up_accounts()
            time.sleep(SETTLE_SECONDS)  # lets the start-up traffic end
            names = {role: f"entry-1/{role}" for role in testing.ROLES}
            before = {r: counter(system, "entry-1", r, "kcm_bus_bytes_sent_total") for r in names}
            start = time.monotonic()
            shares = cpu_share(system, names.values())
            for role, name in names.items():
                total = counter(system, "entry-1", role, "kcm_bus_bytes_sent_total")
                span = time.monotonic() - start
                cpu[role].append((size, shares[name]))
                memory[role].append((size, resident_mb(system.processes[name].pid)))
                sent[role].append((size, (total - before[role]) / span / 1024))
    slopes = []
    for role in testing.ROLES:
        slopes += [
            Slope(f"idle {role}: processor", "entry VM", "% of a core", cpu[role]),
            Slope(f"idle {role}: memory", "entry VM", "MB", memory[role]),
            Slope(f"idle {role}: bus bytes sent", "entry VM", "KB/s", sent[role]),
        ]
    return slopes


def measure_wide(build):
    """Idle processes against the number of workers on record and listed."""
    sizes = (250, 500, 1000, 2000)
    cpu = {role: [] for role in testing.ROLES}
    memory = {role: [] for role in testing.ROLES}
    for size in sizes:
        with WideCluster(build, absent_workers=size, topology=topology()) as system:
            system.set_up_accounts()
            time.sleep(SETTLE_SECONDS)  # lets the start-up traffic end
            holder = system.status("entry-1")["terms"]["hobart-a"]["holder"]
            names = {"gateway": "entry-1/gateway", "scheduler": holder, "relay": "entry-1/relay"}
            shares = cpu_share(system, names.values())
            for role, name in names.items():
                cpu[role].append((size, shares[name]))
                memory[role].append((size, resident_mb(system.processes[name].pid)))
    slopes = []
    for role in testing.ROLES:
        slopes += [
            Slope(f"fleet: {role}'s processor, idle", "worker listed", "% of a core", cpu[role]),
            Slope(f"fleet: {role}'s memory", "worker listed", "MB", memory[role]),
        ]
    return slopes


def measure_minions(build):
    """Idle gateway against the number of minions listed."""
    cpu, memory = [], []
    for size in (50, 100, 200, 400):
        with WideCluster(build, absent_minions=size, topology=topology()) as system:
            system.set_up_accounts()
            time.sleep(SETTLE_SECONDS)  # lets the start-up traffic end
            name = "entry-1/gateway"
            cpu.append((size, cpu_share(system, [name])[name]))
            memory.append((size, resident_mb(system.processes[name].pid)))
    return [
        Slope("minions: gateway's processor, idle", "minion listed", "% of a core", cpu),
        Slope("minions: gateway's memory", "minion listed", "MB", memory),
    ]


def measure_leases(build):
    """Running leases: cost at the scheduler and at one worker."""
    sizes = (8, 16, 32, 64)
    scheduler, worker, worker_memory, wire = [], [], [], []
    for size in sizes:
        with testing.Cluster(build, topology(), proxy=True) as system:
            system.set_up_accounts(accelerators=1000)
            names = []
            for _ in range(size):
                job = testing.gang(members=1, accelerators=1, run_ms=600000)
                job["shape"].update(cores=1, memory_mb=64)
                names.append(system.submit("entry-1", "council", job).json()["job"])
            for name in names:
                system.wait_job("entry-1", "council", name, ("placed", "running"), 60)
            time.sleep(SETTLE_SECONDS)  # lets the starts end
            holder = system.status("entry-1")["terms"]["hobart-a"]["holder"]
            before = system.traffic("worker/")
            start = time.monotonic()
            workers = [w["id"] for w in system.topology.workers]
            shares = cpu_share(system, [holder, *workers])
            after = system.traffic("worker/")
            span = time.monotonic() - start
            moved = sum(
                after[n][side] - before[n][side] for n in after for side in ("bytes_out", "bytes_back")
            )
            per_worker = size / len(workers)
            scheduler.append((size, shares[holder]))
            worker.append((per_worker, sum(shares[w] for w in workers) / len(workers)))
            memory = [resident_mb(system.processes[w].pid) for w in workers]
            worker_memory.append((per_worker, sum(memory) / len(workers)))
            wire.append((per_worker, moved / span / len(workers) / 1024))
    return [
        Slope("leases: scheduler's processor", "lease", "% of a core", scheduler),
        Slope("leases: worker's processor", "lease on it", "% of a core", worker),
        Slope("leases: worker's memory", "lease on it", "MB", worker_memory),
        Slope("leases: worker's control bytes, both ways", "lease on it", "KB/s", wire),
    ]


def measure_requests(build):
    """Processor time of requests at one gateway, and of submitted jobs."""
    sizes = (250, 500, 1000, 2000)
    gateway, reader, follower, relayed = [], [], [], []
    with testing.Cluster(build, topology()) as system:
        system.set_up_accounts(rate_per_s=100000, concurrency=1000, queue=10000)
        pid = system.processes["entry-1/gateway"].pid

        def send(number):
            answer = system.request("entry-1", "council", f"lamp {number}")
            assert answer.status == 200, answer.body

        for size in sizes:
            before = cpu_seconds(pid)
            with concurrent.futures.ThreadPoolExecutor(8) as pool:
                list(pool.map(send, range(size)))
            gateway.append((size, 1000 * (cpu_seconds(pid) - before)))
    edits = (50, 100, 200, 400)
    with testing.Cluster(build, topology()) as system:
        system.set_up_accounts()
        pids = {n: system.processes[n].pid for n in ("entry-1/relay", "entry-2/gateway")}
        for size in edits:
            time.sleep(SETTLE_SECONDS)  # lets the last batches end
            before = {name: cpu_seconds(pid) for name, pid in pids.items()}
            sent = counter(system, "entry-1", "relay", "kcm_bus_bytes_sent_total")
            start = time.monotonic()
            for _ in range(size):
                row = system.operator("entry-1", "GET", "/v1/table/council").json()
                answer = system.operator("entry-1", "PUT", "/v1/table/council", row)
                assert answer.status == 200, answer.body
            span = time.monotonic() - start
            total = counter(system, "entry-1", "relay", "kcm_bus_bytes_sent_total") - sent
            reader.append((size, 1000 * (cpu_seconds(pids["entry-1/relay"]) - before["entry-1/relay"])))
            follower.append(
                (size, 1000 * (cpu_seconds(pids["entry-2/gateway"]) - before["entry-2/gateway"]))
            )
            relayed.append((size, total / 1024))
            print(f"  {size} edits in {span:.1f} s, one after the other", file=sys.stderr)
    return [
        Slope("request: gateway's processor", "request", "ms", gateway),
        Slope("edit: reading relay's processor", "edit", "ms", reader),
        Slope("edit: following gateway's processor", "edit", "ms", follower),
        Slope("edit: reading relay's bus bytes sent", "edit", "KB", relayed),
    ]


MEASURES = {
    "folds": measure_folds,
    "entries": measure_entries,
    "wide": measure_wide,
    "minions": measure_minions,
    "leases": measure_leases,
    "requests": measure_requests,
}


def number(value):
    if value == 0:
        return "0"
    digits = max(0, 2 - int(f"{abs(value):e}".split("e")[1]))
    return f"{value:.{min(digits, 7)}f}"


def slope_table(slopes):
    lines = [
        "| slope | unit | sizes: values | fit | residual |",
        "|---|---|---|---|---|",
    ]
    for s in slopes:
        values = ", ".join(f"{x:g}: {number(y)}" for x, y in s.points)
        fit = f"{number(s.intercept)} + {number(s.slope)} per {s.per}"
        lines.append(f"| {s.name} | {s.unit} | {values} | {fit} | {100 * s.residual:.0f}% |")
    return "\n".join(lines)


WORKERS = 20000
CELLS = 12
JOBS_PER_DAY = 25000
TASKS = 260000
ACCOUNTS = 96
EDITS_PER_DAY = 31000
DAY_SECONDS = 86400
RESTARTS_PER_DAY = 2800
# Submission, placement and end; without batching each record is one append.
RECORDS_PER_JOB = 3
ENTRIES = 9
MINIONS = 50 * CELLS
REGIONS = 5


def role_table(slopes):
    """Extrapolates the cost of each role to the target size above."""
    fits = {s.name: s for s in slopes}
    jobs_per_s = JOBS_PER_DAY / DAY_SECONDS
    edits_per_s = EDITS_PER_DAY / DAY_SECONDS
    tasks_per_worker = TASKS / WORKERS
    followers = 3 * ENTRIES
    record_kb = fits["job: bytes of its 3 records"].slope + 2 * (
        fits["gang: bytes of a placement"].slope * TASKS / JOBS_PER_DAY
    )
    edit_ms = fits["edit: time to fold one, 96 rows"].at(WORKERS)
    fold_cpu = 100 * (
        edits_per_s * edit_ms / 1000 + jobs_per_s * fits["job: time to fold its 3 records"].slope / 1000
    )
    day_mb = fits["job: memory of a fold"].slope * JOBS_PER_DAY
    fleet_mb = fits["fleet: memory of a fold"].at(WORKERS)
    lease_cpu = fits["leases: scheduler's processor"].slope * TASKS / CELLS
    wide_cpu = fits["fleet: scheduler's processor, idle"].slope * WORKERS
    wide_mb = fits["fleet: scheduler's memory"].at(WORKERS)
    gateway_cpu = fits["fleet: gateway's processor, idle"].at(WORKERS)
    minion_cpu = fits["minions: gateway's processor, idle"].slope * MINIONS
    check_ms = fits["submission: check against the fleet"].at(WORKERS)
    worker_cpu = fits["leases: worker's processor"].at(tasks_per_worker)
    worker_mb = fits["leases: worker's memory"].at(tasks_per_worker)
    worker_kb = fits["leases: worker's control bytes, both ways"].at(tasks_per_worker)
    appends = jobs_per_s * RECORDS_PER_JOB + edits_per_s
    relay_kb = followers * (jobs_per_s * record_kb + edits_per_s * fits["edit: bytes"].at(ACCOUNTS))
    snapshot_mb = fits["job: bytes of a snapshot"].slope * JOBS_PER_DAY / 1024
    idle = {role: fits[f"idle {role}: bus bytes sent"].at(ENTRIES) for role in testing.ROLES}
    relay_mb = fits["fleet: relay's memory"].at(WORKERS)
    gateway_mb = fits["fleet: gateway's memory"].at(WORKERS)
    minion_mb = fits["minions: gateway's memory"].slope * MINIONS
    request_ms = fits["request: gateway's processor"].slope
    rows = [
        (
            "log streams",
            f"{CELLS * 2 + 1} streams; {number(jobs_per_s * RECORDS_PER_JOB + edits_per_s)} records/s",
            f"{number(jobs_per_s * record_kb + edits_per_s * fits['edit: bytes'].at(ACCOUNTS))} KB/s, "
            f"at most {number(appends)} appends/s before batching",
            f"fold: {number(fold_cpu)}% of a core in every process "
            f"({number(edit_ms)} ms an edit at {WORKERS} workers)",
            f"{number(day_mb)} MB a day of jobs, {number(fleet_mb)} MB fleet and rows",
            "group commit; the fold",
        ),
        (
            "relay / reader",
            f"all streams; snapshot of a day's jobs {number(snapshot_mb)} MB",
            f"{number(relay_kb + idle['relay'])} KB/s sent by a reader of {followers} followers",
            f"{number(fold_cpu + fits['idle relay: processor'].at(ENTRIES))}% of a core",
            f"{number(relay_mb + day_mb)} MB",
            "one reader a region; push, and a follow call each 250 ms",
        ),
        (
            "gateway",
            "all streams; VM list",
            f"{number(idle['gateway'])} KB/s of heartbeats and follow calls",
            f"{number(gateway_cpu + minion_cpu + fold_cpu)}% idle, "
            f"{number(request_ms)} ms a request, "
            f"{number(check_ms)} ms a submission's check",
            f"{number(gateway_mb + day_mb)} MB",
            "any VM serves; slots shared out",
        ),
        (
            "scheduler cell",
            f"{TASKS // CELLS} leases, {WORKERS // CELLS} workers a cell",
            f"{number(idle['scheduler'])} KB/s between schedulers; "
            f"{number(2 * TASKS / CELLS)} renewals/s today",
            f"{number(lease_cpu)}% renewals of one cell, {number(wide_cpu)}% idle passes over the whole fleet",
            f"{number(wide_mb + day_mb)} MB",
            "one term holder per data centre",
        ),
        (
            "worker (control)",
            f"{number(tasks_per_worker)} leases",
            f"{number(worker_kb)} KB/s",
            f"{number(worker_cpu)}% of a core",
            f"{number(worker_mb)} MB (stand-in)",
            "leases renewed by the scheduler",
        ),
        (
            "minions' routing",
            f"{MINIONS} minions",
            f"VM list polled each 500 ms by each gateway",
            f"{number(minion_cpu)}% of a core a gateway",
            f"{number(minion_mb)} MB",
            "VM list; refusals and drain headers",
        ),
        (
            "operators' table",
            f"{ACCOUNTS} rows, 1000 changes of history",
            f"{number(edits_per_s)} edits/s of {number(fits['edit: bytes'].at(ACCOUNTS))} KB",
            f"{number(100 * edits_per_s * edit_ms / 1000)}% of a core in every process",
            "in the figure of the log streams",
            "row versions judged in the fold",
        ),
    ]
    lines = [
        "| role | state | messages | processor | memory | carried by |",
        "|---|---|---|---|---|---|",
    ]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def replace_between(text, name, table):
    begin, end = f"<!-- {name}:begin -->", f"<!-- {name}:end -->"
    head, rest = text.split(begin, 1)
    _, tail = rest.split(end, 1)
    return f"{head}{begin}\n{table}\n{end}{tail}"


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("build", nargs="?", default=ROOT / "Build", type=pathlib.Path)
    parser.add_argument("--page", default=ROOT / "docs" / "CAPACITY.md", type=pathlib.Path)
    parser.add_argument("--only", default="", help="names of measures, with commas")
    parser.add_argument("--raw", type=pathlib.Path, help="file for the points as JSON")
    arguments = parser.parse_args()
    chosen = arguments.only.split(",") if arguments.only else list(MEASURES)
    slopes = []
    for name in chosen:
        print(f"measuring {name}", file=sys.stderr)
        slopes += MEASURES[name](arguments.build.resolve())
    if arguments.raw:
        arguments.raw.write_text(json.dumps([dataclasses.asdict(s) for s in slopes], indent=1))
    print(slope_table(slopes))
    if arguments.only:
        return
    text = replace_between(arguments.page.read_text(), "slopes", slope_table(slopes))
    text = replace_between(text, "roles", role_table(slopes))
    arguments.page.write_text(text)


if __name__ == "__main__":
    main()
