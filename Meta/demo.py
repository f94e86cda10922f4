#!/usr/bin/env python3
"""Runs a small cluster from the settings in Base/Glintwater, end to end.

Usage: demo.py BUILD_FOLDER [--any-network] [--keep]

With --any-network it uses the first free loopback network instead of the one in
the settings, so that several demos can run at once. With --keep the processes
run until Ctrl-C, for manual calls.
"""

import concurrent.futures
import pathlib
import signal
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "Tests" / "System"))

import cluster as testing  # noqa: E402

REQUESTS = 200


def log(text):
    print(text, flush=True)


def kcm(system, entry, token, *words):
    command = [str(system.build / "kcm"), "--gateway", system.gateway(entry), "--token", token]
    return subprocess.run(
        [*command, *words], capture_output=True, text=True, check=False, timeout=60
    )


def answer_requests(system):
    def send(number):
        entry = f"entry-{1 + number % 3}"
        account = ("council", "caravan")[number % 2]
        body = f"lamp {number}"
        answer = system.request(entry, account, body)
        assert answer.status == 200, answer.body
        assert answer.body.endswith(f"for {account}: {body}"), answer.body

    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        list(pool.map(send, range(REQUESTS)))
    log(f"requests: {REQUESTS} answered whole, each to its own caller")


def run_once(system):
    first = system.request("entry-1", "council", "wipe pole 7", key="bill-7")
    second = system.request("entry-1", "council", "wipe pole 7", key="bill-7")
    assert (first.status, second.status) == (200, 200), (first.body, second.body)
    assert first.body == second.body
    runs = [run for run in system.journal("runs.jsonl") if run["key"] == "bill-7"]
    assert len(runs) == 1, runs
    log(f"non-idempotent request: sent twice, ran once: {first.body}")


def edit_row(system):
    result = kcm(system, "entry-1", testing.OPERATOR_TOKEN, "table", "set", "council", "weight=3")
    assert result.returncode == 0, result.stderr
    version = system.status("entry-1")["table_version"]
    for entry in system.topology.entries:
        testing.wait_until(
            lambda entry=entry: system.status(entry)["table_version"] >= version,
            f"{entry} has version {version}",
            2,
        )
    log(kcm(system, "entry-3", testing.OPERATOR_TOKEN, "table", "show").stdout.rstrip())


def run_gang(system):
    job = testing.gang(run_ms=4000)
    answer = system.submit("entry-3", "council", job)
    assert answer.status == 202, answer.body
    job_id = answer.json()["job"]
    placed = system.wait_job("entry-1", "council", job_id, ("placed", "running"))
    racks = {member["rack"] for member in placed["members"]}
    assert len(racks) == 1, placed
    log(f"gang placed in {racks.pop()} on {[m['worker'] for m in placed['members']]}")
    holder = system.status("entry-1")["terms"]["hobart-a"]["holder"]
    system.kill(holder)
    log(f"killed {holder} by SIGKILL")
    system.wait_job("entry-2", "council", job_id, ("done", "failed", "lost"))
    result = kcm(system, "entry-2", testing.token_of("council"), "job", "wait", job_id)
    log(result.stdout.rstrip())
    assert result.returncode == 0, result.stdout
    terms = system.status("entry-1")["terms"]["hobart-a"]
    log(f"finished under term {terms['number']} of {terms['holder']}")
    foreign = system.account("entry-1", "caravan", "GET", f"/v1/jobs/{job_id}")
    assert foreign.status == 404, foreign.body


def make_invalid_calls(system):
    invalid_calls = (
        ("bad row", system.operator("entry-1", "PUT", "/v1/table/council", {"weigth": 2})),
        ("bad job", system.submit("entry-1", "council", testing.gang(members=5000))),
        ("unknown account", system.submit("entry-1", "nobody", testing.gang())),
        ("wrong token", testing.call(system.gateway("entry-1"), "GET", "/v1/table", None, {"Authorization": "Bearer wrong"})),
    )
    for name, answer in invalid_calls:
        assert 400 <= answer.status < 500, (name, answer.status, answer.body)
        log(f"{name}: {answer.status} {answer.json()['message']}")


def keep_running(system):
    gateways = " ".join(system.gateway(entry) for entry in system.topology.entries)
    log(f"running until Ctrl-C; gateways: {gateways}")
    try:
        signal.pause()
    except KeyboardInterrupt:
        log("stopping")


def main():
    network = None if "--any-network" in sys.argv else testing.BASE_NETWORK
    with testing.Cluster(testing.BUILD, network=network) as system:
        names = sorted(system.processes)
        log(f"{len(names)} processes: " + " ".join(names))
        system.set_up_accounts()
        answer_requests(system)
        run_once(system)
        edit_row(system)
        run_gang(system)
        make_invalid_calls(system)
        if "--keep" in sys.argv:
            keep_running(system)
    log("demo: everything was seen to work; all processes are down")


if __name__ == "__main__":
    main()
