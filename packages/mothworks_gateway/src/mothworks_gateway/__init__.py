"""Mothworks in front of endpoints that register themselves.

Every VM runs the same node. Callers' requests are matched to declared routes,
sent to an endpoint that holds the model, and answered as the endpoint answers.
One VM at a time, the holder of a lease, orders endpoints to load and unload.
"""
