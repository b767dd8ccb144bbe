"""Mothworks for endpoints that register themselves with the platform.

Every VM runs the same node. It matches callers' requests to declared routes, forwards
each to an endpoint that has the model loaded, and returns the endpoint's response. One
VM at a time, the lease holder, orders endpoints to load and unload models.
"""
