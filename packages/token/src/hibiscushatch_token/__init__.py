"""The entry VM for fabrics whose packets carry an affinity token.

A token names the upstream of a flow and comes back in every packet of it, so
that any entry VM can forward a packet without state of the flow. The other
kind of affinity, by buckets, is in hibiscushatch_node.
"""
