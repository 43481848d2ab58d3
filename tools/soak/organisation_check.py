"""The promises about organisations and API keys, from what callers and targets see."""

KEY_FIELD = "authorization"
ORGANISATION_FIELD = "x-catkintally-tenant"


class Key:
    """One API key. Times are None until then; a key that no configuration ever held has none."""

    def __init__(self, text, organisation):
        self.text = text
        self.organisation = organisation
        # The first configuration with it was about to be written, and was accepted.
        self.proposed_at = None
        self.accepted_at = None
        # The same for the first configuration without it.
        self.withdrawing_at = None
        self.withdrawn_at = None


class Access:
    """How one request identifies itself."""

    def __init__(self, fields=None, key=None, public=False):
        self.fields = fields or {}
        # The only key, in its proper form; None if the request has none or no proper one.
        self.key = key
        self.public = public


PUBLIC = Access(public=True)


class OrganisationCheck:
    """`settled(since, now, bound)` tells whether a change at `since` must be in force at `now`, and
    `in_touch(instance, now)` whether that holds for an instance."""

    def __init__(self, broken, settled, in_touch, bound):
        self.broken = broken
        self.settled = settled
        self.in_touch = in_touch
        self.bound = bound
        # False for configurations without organisations, whose requests are not looked at.
        self.enabled = False
        self.asked = {}

    def sent(self, request, access):
        self.asked[request.request] = access

    def must_know(self, instance, since, now):
        return since is not None and self.settled(since, now, self.bound) and \
            self.in_touch(instance, now)

    def arrived(self, target, request, instance, fields, now):
        """A target has received a request that a caller sent to `instance`."""
        if not self.enabled:
            return
        access = self.asked.get(request, PUBLIC)
        if KEY_FIELD in fields:
            self.broken("unasked", f"{request} reached {target} with a key")
        key = access.key
        if not access.public and (key is None or key.proposed_at is None):
            self.broken("route", f"{request} reached {target} without a key that was ever valid")
            return
        expected = None if access.public else key.organisation
        if fields.get(ORGANISATION_FIELD) != expected:
            self.broken("unasked", f"{request} reached {target} for "
                                   f"{fields.get(ORGANISATION_FIELD)} instead of {expected}")
        if not access.public and self.must_know(instance, key.withdrawn_at, now):
            self.broken("config", f"{request} reached {target} {now - key.withdrawn_at:.1f} s after "
                                  "its key was withdrawn")

    def answered(self, request, status, own):
        """A caller got an answer, which is `own` if it is no target's."""
        if not self.enabled or status != 401 or not own:
            return
        access = self.asked.get(request.request, PUBLIC)
        if access.public:
            self.broken("config", f"{request.instance} wants a key for {request.path}")
            return
        key = access.key
        if key is None or key.accepted_at is None or key.withdrawing_at is not None:
            request.missed = False
        elif self.must_know(request.instance, key.accepted_at, request.sent_at):
            self.broken("config", f"{request.instance} refused a key "
                                  f"{request.sent_at - key.accepted_at:.1f} s after it was added")
