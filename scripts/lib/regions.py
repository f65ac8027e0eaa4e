"""A fleet in two regions whose traffic between the regions passes a relay that can be cut."""

import json

from fleet import Fleet, http_call


class RegionFleet(Fleet):
    """The store stands in the first region; instances of the second reach it through the relay."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.near = self.domains[0][1]
        self.relay_port = self.base + 3
        self.far_list_port = self.base + 4
        self.far_store_port = self.base + 5
        self.pairs = [(self.far_store_port, self.store_port)]
        self.links = {}
        next_port = self.base + 300
        for peer in self.instances:
            self.links[peer.name] = next_port
            self.pairs.append((next_port, peer.link))
            next_port += 1
        workers = sum(count for _, _, count in self.domains)
        self.worker_relay = {}
        for index in range(workers):
            port = self.base + 100 + index
            self.worker_relay[port] = next_port
            self.pairs.append((next_port, port))
            next_port += 1

    def start(self):
        self._standin("relay", "--port", str(self.relay_port),
                      *[f"{listen}:{target}" for listen, target in self.pairs])
        self._standin("list", "--port", str(self.far_list_port))
        self._wait_port(self.relay_port)
        self._wait_port(self.far_list_port)
        super().start()

    def port_of(self, which, instance):
        far = instance.region != self.near
        if which == "store":
            return self.far_store_port if far else self.store_port
        return self.far_list_port if far else self.list_port

    def link_of(self, peer, seen_from):
        return peer.link if peer.region == seen_from.region else self.links[peer.name]

    def control(self, which, change=None):
        if which == "relay":
            return json.loads(http_call(self.relay_port, "POST", "/control", change)[2])
        if which == "list" and change and "upsert" in change:
            self._upsert(change["upsert"])
            return {}
        if which == "list" and change:
            http_call(self.far_list_port, "POST", "/control", change)
        return super().control(which, change)

    def _upsert(self, entries):
        for port, here in ((self.list_port, True), (self.far_list_port, False)):
            seen = [self._as_seen(entry, here) for entry in entries]
            http_call(port, "POST", "/control", {"upsert": seen})

    def _as_seen(self, entry, from_near):
        if "region" not in entry or (entry["region"] == self.near) == from_near:
            return entry
        changed = dict(entry)
        for field in ("agent", "upstream"):
            if field in entry:
                port = int(entry[field].rsplit(":", 1)[1])
                changed[field] = f"127.0.0.1:{self.worker_relay[port]}"
        return changed
