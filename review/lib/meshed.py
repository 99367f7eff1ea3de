"""A system whose nodes reach one another and the store through proxies."""

from links import Link
from system import System

PEER_PORT = 7060
PEER_PROXY_PORT = 7061
STORE_PROXY_SHIFT = 50
# The nodes name themselves in this header when they connect to one another.
NAME_HEADER = "X-Peridot-Incarnation"


class MeshedSystem(System):
    async def start(self):
        self.peer_links, self.store_links = {}, {}
        for number, node in enumerate(self.nodes):
            self.peer_links[node] = Link((node.ip, PEER_PROXY_PORT), (node.ip, PEER_PORT),
                                         NAME_HEADER)
            self.store_links[node] = Link(
                (self.platform_ip, self.store_port(number) + STORE_PROXY_SHIFT),
                (self.platform_ip, self.store_port(number)))
        for link in list(self.peer_links.values()) + list(self.store_links.values()):
            await link.start()
        await super().start()

    def cut_off(self, node):
        """Partitions a node from the store and from all other nodes."""
        self.store_links[node].cut()
        for other, link in self.peer_links.items():
            if other is node:
                link.cut()
            else:
                link.cut_from(node.name)

    def heal(self):
        for link in list(self.store_links.values()) + list(self.peer_links.values()):
            link.heal()

    def more_settings(self, number):
        return f"advertised_peers = {self.network}.{number + 2}:{PEER_PROXY_PORT}\n"

    def fields(self, number):
        fields = super().fields(number)
        port = self.store_port(number) + STORE_PROXY_SHIFT
        fields["platform.address"] = f"{self.platform_ip}:{port}"
        return fields
