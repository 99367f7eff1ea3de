"""The rules on orders to machines, where the platform does not check fence numbers."""

from platform_standin import UPKEEP_S


def check_fences(orders):
    """Two holders with one fence number, or a lower one after a higher one."""
    broken, newest, holders = [], {}, {}
    for order in orders:
        name, fence = order["machine"], order["fence"]
        former = newest.get(name)
        if former and fence < former["fence"]:
            broken.append(f"ONE: {describe(order)}, after {describe(former)}")
        if holders.setdefault((name, fence), order["holder"]) != order["holder"]:
            broken.append(f"ONE: two holders of {name} with fence {fence}")
        if not former or fence >= former["fence"]:
            newest[name] = order
    return broken


def describe(order):
    return (f"at {order['at']:.3f} s {order['holder']} orders {order['what']} of "
            f"{order['machine']} with fence {order['fence']} (answer {order['status']})")


def check_max_count(upkeeps, max_count):
    """LIMIT: an upkeep begins while so many machines of its wave are down for theirs."""
    broken = []
    for number, (at, name, wave) in enumerate(upkeeps):
        down = [other for begun, other, other_wave in upkeeps[:number]
                if other_wave == wave and at - begun < UPKEEP_S]
        if len(down) >= max_count:
            broken.append(f"LIMIT: at {at:.3f} s the upkeep of {name} begins, while {down} are "
                          f"down for theirs and {max_count} may be")
    return broken


def check_may_miss(platform, job, may_miss):
    """AVAIL: an order to a machine ends a task while so many others were ended by such an order.

    Counts only tasks that orders to machines ended and that did not start again since.
    """
    broken, away = [], set()
    events = sorted(platform.starts + platform.ends, key=lambda event: event[0])
    for at, task, run, worker, what in events:
        if not task.startswith(job):
            continue
        if what == "start":
            away.discard(task)
        elif what == "terminated":
            if len(away) >= may_miss:
                broken.append(f"AVAIL: at {at:.3f} s an order to its machine ends {task} run {run} "
                              f"on {worker}, while {sorted(away)} are away")
            away.add(task)
    return broken
