"""Requests whose path says how long a target works on them and how long the answer is."""
import dataclasses


@dataclasses.dataclass
class TimedRoute:
    """A route to targets that take their time from the path."""
    prefix: str
    service: str
    safe: bool
    timeout_s: float


# The slowest safe route of the users' sites, one without a limit within the grace, and orders.
ROUTES = (TimedRoute("/d/", "records", True, 2.0), TimedRoute("/e/", "records", True, 12.0),
          TimedRoute("/u/", "deposits", False, 12.0))
TIMED_SERVICES = {each.service for each in ROUTES}


def timed_path(prefix, work_s, size, name):
    return f"{prefix}{int(work_s * 1000)}-{size}-{name}"


def timing_of(path):
    """Seconds of work and bytes of the answer; None if the path names none."""
    if not path.startswith(tuple(each.prefix for each in ROUTES)):
        return None
    work_ms, size = path.split("/")[2].split("-")[:2]
    return int(work_ms) / 1000, int(size)
