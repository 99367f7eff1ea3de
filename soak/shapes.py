"""Shapes of systems: nodes with their zones and processor cores, and pools of VMs."""

import random

POOLS = ("quick", "deep")
VMS_PER_POOL = 4
SPARE = "spare"


class Shape:
    """`nodes` has the zone and the cores of each node; `pools` the number of VMs by name."""

    def __init__(self, nodes, pools, spare_vms):
        self.nodes = nodes
        self.pools = pools
        self.spare_vms = spare_vms

    @property
    def vm_count(self):
        return sum(self.pools.values()) + self.spare_vms

    @property
    def zones(self):
        return list(dict.fromkeys(zone for zone, _ in self.nodes))


def drawn_shape(node_count, cores):
    """Returns the shape of the short runs: one zone and small pools."""
    return Shape([("one", cores)] * node_count, dict.fromkeys(POOLS, VMS_PER_POOL), VMS_PER_POOL)


def nine():
    zones = [(zone, "0.25") for zone in ("one", "two", "three") for _ in range(3)]
    return Shape(zones, {"quick": 9, "deep": 9, "broad": 11, "late": 12}, 8)


def grown():
    """Few large nodes and many small ones, started in a mixed order."""
    zones = ("one", "two", "three", "four")
    nodes = [(zone, "0.5") for zone in zones for _ in range(2)]
    for zone, small in zip(zones, (6, 8, 6, 6)):
        nodes += [(zone, "0.12")] * small
    random.Random(1).shuffle(nodes)
    return Shape(nodes, {"quick": 61, "deep": 69, "broad": 78, "late": 85}, 56)


SHAPES = {"nine": nine, "grown": grown}
