#!/usr/bin/env bash
# A request that crashes its upstreams, on a route that is split over three services.
cd "$(dirname "$0")" && exec python3 case.py
