"""A complete local system: nodes, the stand-in of the platform, and the links between them."""

import asyncio
import os

from callers import Connection
from processes import NODE_SETTINGS, Process, socket_inode
from proxy import Link
from quotas import Quotas
from shapes import SPARE

RESTART_S = 0.3
PORTS_PER_NODE = 10


class System:
    """Uses ports from `base_port` upwards, so that several systems can run at once."""

    def __init__(self, folder, build, base_port, shape, quotas=False, tenants=None,
                 graded_health=False):
        self._folder = folder
        self._build = build
        self._graded = "true" if graded_health else "false"
        self._base = base_port
        self._version = 0
        self.more_routes = []
        self.tenants = tenants
        self._writes_of_config = asyncio.Lock()
        self._restarting = {}
        self._switches = Connection(base_port)
        self.shape = shape
        first_worker = base_port + 1
        shift = shape.vm_count
        self._next_node_port = first_worker + 2 * shape.vm_count
        sizes = [*shape.pools.values(), shape.spare_vms]
        self.fleet = Process("fleet", [
            f"{build}/standins/standin-fleet", f"--port={base_port}",
            f"--pool_sizes={','.join(map(str, sizes))}", f"--pools={','.join(shape.pools)}",
            f"--zones={','.join(shape.zones)}", f"--advertised_shift={shift}"],
            f"{folder}/fleet.log")
        self.worker_links = [Link(first_worker + shift + vm, first_worker + vm, self.node_with_port)
                             for vm in range(shape.vm_count)]
        # Those of node i are at place i of each list; nodes that were removed keep their places.
        self.nodes, self.log_links, self.peer_links, self.caller_ports = [], [], [], []
        self.zones, self.removed = [], set()
        self.most_descriptors = 0
        for number, (zone, cores) in enumerate(shape.nodes):
            self._add_node(f"node-{number}", zone, cores)
        self.quotas = Quotas(self.nodes) if quotas else None

    def _add_node(self, name, zone, cores):
        port = self._next_node_port
        self._next_node_port += PORTS_PER_NODE
        place = len(self.nodes)
        settings = f"{self._folder}/{place}-{name}.ini"
        with open(settings, "w", encoding="utf-8") as file:
            file.write(NODE_SETTINGS.format(
                name=name, zone=zone, callers=port, ready=port + 1, peers=port + 2,
                advertised=port + 3, metrics=port + 4, log=port + 5, vms=self._base, cores=cores,
                graded=self._graded))
        self.peer_links.append(Link(port + 3, port + 2))
        self.log_links.append(Link(port + 5, self._base))
        self.caller_ports.append(port)
        self.zones.append(zone)
        node = Process(name, [f"{self._build}/apps/peridot-scheduler", f"--settings={settings}"],
                       f"{self._folder}/{place}-{name}.log")
        node.cores = float(cores)
        self.nodes.append(node)
        return place

    async def add_node(self, name, zone, cores):
        """Starts a further node at an address of its own. Returns its place."""
        place = self._add_node(name, zone, cores)
        await self.peer_links[place].start()
        await self.log_links[place].start()
        self.nodes[place].start()
        return place

    def remove_node(self, place):
        """Ends a node for good."""
        self.removed.add(place)
        self.nodes[place].end()

    @property
    def present(self):
        """Places of the nodes that have not been removed."""
        return [place for place in range(len(self.nodes)) if place not in self.removed]

    @staticmethod
    def descriptors():
        """Returns how many descriptors this program has open."""
        return len(os.listdir("/proc/self/fd"))

    @property
    def links(self):
        return self.log_links + self.peer_links + self.worker_links

    def node_with_port(self, port):
        """Returns the name of the node that has a connection from a local port, or None."""
        inode = socket_inode(port)
        return next((node.name for node in self.nodes if node.has_socket(inode)), None)

    async def start(self):
        self.fleet.start()
        for link in self.links:
            await link.start()
        while (await self._switches.call("GET", "/ledger?from=0"))[0] != 200:
            await asyncio.sleep(0.1)
        await self.configure()
        for node in self.nodes:
            node.start()
        if self.quotas is not None:
            self.quotas.start()

    async def switch(self, path, body=None):
        return await self._switches.call("POST", path, body if body is not None else {})

    async def change_worker(self, change, vm, **values):
        """Restarts the worker of a VM or changes its capacity, see the stand-in."""
        await self.switch(f"/{change}", {"vm": f"m-{vm:04}", **values})

    async def put_entry(self, worker_id, content):
        """Writes an entry among those of the workers; empty content deletes it."""
        await self.switch(f"/entry?key={worker_id}", content)

    def connect(self, place):
        """Returns a connection to a node, whose calls carry a lasting key if there are tenants."""
        return Connection(self.caller_ports[place], self.tenants.own[1] if self.tenants else None)

    def next_version(self):
        """Returns the version that the next call of `configure` declares."""
        return self._version + 7

    async def configure(self, more_routes=None):
        """Declares the next configuration version, with `more_routes` beside those of the pools.

        By default the further routes stay, and only a timeout changes.
        """
        # In order, since a successor takes the newest record for the newest version.
        async with self._writes_of_config:
            await self._write_config(more_routes)

    async def _write_config(self, more_routes):
        self._version = self.next_version()
        self.more_routes = self.more_routes if more_routes is None else more_routes
        routes = [{"name": name, "host": "soak.example", "path-prefix": f"/{name}/",
                   "kind": "unsafe", "timeout-ms": 3000 + self._version, "attempts": 4,
                   "target-duration-ms": 600, "stretch": 1.6, "priority": 0,
                   "service": name if name in self.shape.pools else "quick"}
                  for name in (*self.shape.pools, "stay", *self.more_routes)]
        services = [{"name": name, "spare": name == SPARE} for name in (*self.shape.pools, SPARE)]
        content = {"version": self._version, "routes": routes, "services": services, "limits": {}}
        if self.tenants is not None:
            routes.append({**routes[0], "name": "open", "path-prefix": "/open/", "public": True})
            content["tenants"] = self.tenants.describe()
        # Again on a new connection, if the stand-in has closed the idle one.
        while (await self.switch("/operator?key=config", content))[0] != 200:
            await asyncio.sleep(0.1)

    async def is_ready(self, number):
        """Asks a node whether load balancers may use it."""
        connection = Connection(self.caller_ports[number] + 1)
        status, _ = await connection.call("GET", "/-/ready")
        connection.close()
        return status == 200

    async def ledger(self, first):
        status, events = await self._switches.call("GET", f"/ledger?from={first}")
        return events if status == 200 else []

    def restart_ended(self, now):
        """Restarts ended nodes after a pause. Returns the unexpected ends."""
        faults = []
        for place in self.present:
            node = self.nodes[place]
            if node.runs:
                continue
            if place not in self._restarting:
                code = node.take_end()
                if code is not None:
                    faults.append(f"EXIT: {node.name} ended by itself with code {code}")
                self._restarting[place] = now + RESTART_S
            elif now >= self._restarting[place]:
                del self._restarting[place]
                node.start()
        return faults

    async def heal(self):
        for link in self.links:
            link.heal()
            await link.lift_all()
            await link.start()
        await self.switch("/faults")
        for node in self.nodes:
            node.release_faults()

    async def stop(self):
        self._switches.close()
        if self.quotas is not None:
            self.quotas.stop()
        for node in self.nodes:
            node.end()
        self.fleet.end()
        for link in self.links:
            await link.stop()
