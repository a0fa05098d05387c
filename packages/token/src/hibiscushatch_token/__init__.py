"""The entry VM for fabrics whose packets carry an affinity token.

The token identifies the upstream of a flow. The caller repeats it in each later
packet of the flow, so any entry VM can forward these packets without keeping
state for the flow. The other kind of affinity, by buckets, is in
hibiscushatch_node.
"""
