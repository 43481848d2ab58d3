// Snapshot of a domain_overflow for the dump of a process.
#include <catkintally/core/admission/domain_overflow.hpp>

namespace catkintally::core
{

domain_overflow_dump domain_overflow::dump(time_point now) const
{
    domain_overflow_dump out;
    out.fraction = fraction_;
    out.active = active_;
    out.home_cost_ms = last_costs_.stay;
    out.remote_cost_ms = last_costs_.leave;
    out.probes = probes_;
    out.requests = requests_;
    const prospect home = home_prospect(now);
    out.domains.push_back(
        {.name = options_.home,
         .usable = home.usable,
         .fast = home.fast,
         .probes = home_.count(now)});
    for (const auto& [name, each] : others_)
    {
        const probe_prior prior = remote_prior(each, now);
        out.domains.push_back(
            {.name = name,
             .usable = each.usable(prior, now),
             .fast = each.fast(prior, now),
             .probes = each.count(now)});
    }
    return out;
}

} // namespace catkintally::core
