"""Measures a fleet of 8 instances on loopback; prints one JSON line a figure."""

import json
import os
import re
import statistics
import subprocess
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import ROOT, Fleet, http_call  # noqa: E402

MEASURE = os.path.join(ROOT, "build", "crocuslead-measure")
TICKS = os.sysconf("SC_CLK_TCK")
DOMAINS = ("ibadan", "abeokuta", "oyo", "ilorin", "makurdi", "lafia", "jos", "bauchi")
DESIGN_WORKERS = 138
TASKS_PER_WORKER = 12
SIZES = (24, 72, 144)
# The report interval, so that each worker reports once.
WINDOW = 96


def emit(name, value, unit, target=None, better="lower", baseline=None, baseline_name=None):
    row = {"name": name, "value": round(value, 4), "unit": unit, "target": target,
           "better": better}
    if baseline is not None:
        row.update(baseline=round(baseline, 4), baseline_name=baseline_name)
    print(json.dumps(row), flush=True)


def make_fleet(workers, base):
    region = lambda index: "south-west" if index < 4 else "middle-belt"  # noqa: E731
    fleet = Fleet([(name, region(i), workers // 8) for i, name in enumerate(DOMAINS)],
                  [(f"i{i}", region(i), name) for i, name in enumerate(DOMAINS)],
                  base, "visit-desk", {"partitions_per_domain": 2},
                  ["--cpu-milli", "16000", "--memory-mb", "60000", "--per-rack", "2",
                   "--service-ms", "1"])
    fleet.start()
    fleet.configure({"desk": {"agreed_share": 0.5, "priority": 50, "service": "visit-desk",
                              "default_deadline_ms": 5000, "max_concurrent_requests": 1000,
                              "deferrable": False}}, {"visits": {"template": "desk"}})
    fleet.wait_owners()
    return fleet


def run_tasks(fleet, workers):
    """Fills the workers with long tasks, 12 a worker."""
    wanted = workers * TASKS_PER_WORKER
    for number in range(workers):
        fleet.retry(lambda n=number: fleet.api("POST", "/v1/jobs", {
            "id": f"m-{n}", "workspace": "visits", "tasks": TASKS_PER_WORKER, "cpu_milli": 1000,
            "memory_mb": 1000, "run_time_ms": 3_600_000}, fleet.instances[n % 8]))
    end = time.time() + 10
    running = 0
    while time.time() < end and running < wanted:
        time.sleep(0.5)
        running = sum(len(rows) for rows in fleet.worker_tasks().values())
    return running


def cpu_seconds(each):
    with open(f"/proc/{each.process.pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(each):
    with open(f"/proc/{each.process.pid}/status") as status:
        line = next(row for row in status if row.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def control_bytes(fleet):
    """Sum over the instances of control bytes by kind."""
    total = {}
    for each in fleet.instances:
        rows = fleet.api("GET", "/v1/dump", instance=each)[1]
        for kind, row in rows["control_bytes"].items():
            total[kind] = total.get(kind, 0) + row["control"]
    return total


def idle_costs(fleets):
    """Costs of all fleets over one window; the sizes run side by side."""
    marks = []
    for workers, fleet in fleets:
        marks.append((control_bytes(fleet), [cpu_seconds(i) for i in fleet.instances],
                      time.time()))
    time.sleep(WINDOW)
    rows = []
    for (workers, fleet), (before, cpu, start) in zip(fleets, marks):
        used = sum(cpu_seconds(i) - c for i, c in zip(fleet.instances, cpu))
        after, took = control_bytes(fleet), time.time() - start
        kinds = {kind: (after[kind] - before[kind]) / took / 8 for kind in after}
        print(f"# {workers} workers, bytes/s a process by kind: "
              f"{ {k: round(v, 1) for k, v in kinds.items()} }", file=sys.stderr, flush=True)
        rows.append((workers, {"bytes": sum(kinds.values()), "worker_bytes": kinds["workers"],
                               "cpu": 100 * used / took / 8,
                               "memory": max(resident_mb(i) for i in fleet.instances)}))
    return rows


def fit(rows, key):
    """Least squares over workers per instance; returns slope and value at the design size."""
    xs, ys = [w / 8 for w, _ in rows], [row[key] for _, row in rows]
    mx, my = statistics.mean(xs), statistics.mean(ys)
    slope = sum((x - mx) * (y - my) for x, y in zip(xs, ys)) / sum((x - mx) ** 2 for x in xs)
    return slope, my + slope * (DESIGN_WORKERS - mx)


def report_cost(rows):
    for key, label, unit, target in (("worker_bytes", "control_bytes_of_workers", "B/s", None),
                                     ("bytes", "control_bytes", "B/s", 2000),
                                     ("cpu", "idle_cpu", "% of a core", 2.2),
                                     ("memory", "resident_memory", "MB", 64)):
        for workers, row in rows:
            emit(f"fleet.{label}_at_{workers}_workers", row[key], unit, target)
        slope, design = fit(rows, key)
        emit(f"fleet.{label}_slope", slope, f"{unit} per worker of the instance")
        emit(f"fleet.{label}_at_design_size_extrapolated", design, unit, target)


def load(port, path, concurrency, count):
    out = subprocess.run([MEASURE, "load", f"http://127.0.0.1:{port}{path}", str(concurrency),
                          str(count)], capture_output=True, text=True, check=False)
    return json.loads(out.stdout)


def latency(fleet):
    one = fleet.instances[0]
    direct = load(fleet.base + 100, "/routes", 1, 1500)
    through = load(one.caller, "/r/visits/routes", 1, 1500)
    for part in ("p50", "p99"):
        emit(f"fleet.added_latency_{part}", through[part + "_ms"] - direct[part + "_ms"], "ms",
             baseline=direct[part + "_ms"], baseline_name="direct call to the upstream")
    before = cpu_seconds(one)
    many = load(one.caller, "/r/visits/routes", 16, 10000)
    used = cpu_seconds(one) - before
    emit("fleet.requests_per_core", (10000 - many["failed"]) / used, "requests/s", better="higher")
    emit("fleet.requests_failed", many["failed"], "requests", 0)


def config_spread(fleet, changes=30):
    times = []
    for number in range(changes):
        writer = fleet.instances[number % 8]
        start = time.time()
        status, body = fleet.api("PUT", "/v1/templates/spread", {
            "agreed_share": 0.1, "priority": number + 1, "service": "visit-desk",
            "default_deadline_ms": 5000, "max_concurrent_requests": 100, "deferrable": False},
            writer)
        fleet.expect((status, body))
        for each in fleet.instances:
            while True:
                _, seen = fleet.api("GET", "/v1/templates", instance=each)
                if re.search(rf'"priority": {number + 1}\b', json.dumps(seen)):
                    break
                if time.time() - start > 10:
                    break
                time.sleep(0.005)
        times.append(time.time() - start)
    times.sort()
    emit("fleet.configuration_spread_p99", times[-1], "s", 5)
    emit("fleet.configuration_spread_p50", times[len(times) // 2], "s", 5)


def failover(fleet):
    victim = fleet.instances[3]
    dead = victim.process
    start = time.time()
    dead.kill()
    dead.wait()
    ok = 0
    while ok < 20 and time.time() - start < 30:
        each = fleet.instances[ok % 3]
        status = fleet.request(each, "visits", "/routes", timeout=5)[0]
        ok = ok + 1 if status == 200 else 0
    emit("fleet.reads_served_again_after_kill", time.time() - start, "s")
    while time.time() - start < 60:
        owners = fleet.api("GET", "/v1/dump", instance=fleet.instances[0])[1]["owners"]
        if len(owners) == 16 and all(r["instance"] != victim.name for r in owners.values()):
            break
        time.sleep(0.1)
    emit("fleet.partitions_owned_again_after_kill", time.time() - start, "s")


def main():
    fleets = []
    try:
        for index, workers in enumerate(SIZES):
            fleets.append((workers, make_fleet(workers, 27000 + 400 * index)))
        for workers, fleet in fleets:
            running = run_tasks(fleet, workers)
            emit(f"fleet.running_tasks_at_{workers}_workers", running, "tasks", better="higher")
        time.sleep(8)
        report_cost(idle_costs(fleets))
        for _, fleet in fleets[:-1]:
            fleet.stop()
        latency(fleets[-1][1])
        config_spread(fleets[-1][1])
        failover(fleets[-1][1])
    finally:
        for _, fleet in fleets:
            fleet.stop()


if __name__ == "__main__":
    main()
