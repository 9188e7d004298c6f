"""Code that the entry and the scheduler daemon share."""

from chestnuttide.daemon import _instances
from chestnuttide.daemon import _main
from chestnuttide.daemon import _mesh
from chestnuttide.daemon import _metrics_server

count_traffic = _mesh.count_traffic
make_main = _main.make_main
make_network = _mesh.make_network
poll_instances = _instances.poll_instances
serve_metrics = _metrics_server.serve_metrics
to_config_message = _mesh.to_config_message
to_patches_message = _mesh.to_patches_message
update_addresses = _instances.update_addresses

__all__ = [
    "count_traffic",
    "make_main",
    "make_network",
    "poll_instances",
    "serve_metrics",
    "to_config_message",
    "to_patches_message",
    "update_addresses",
]
