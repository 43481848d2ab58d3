#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace catkintally::core
{

/// Demand of one instance for a service.
struct instance_demand
{
    std::uint64_t instance = 0;
    std::uint64_t failure_domain = 0;
    double per_second = 0;
};

/// A target whose limit is divided among instances.
struct limited_target
{
    /// Hash of the target's name.
    std::uint64_t name = 0;
    std::uint64_t failure_domain = 0;
    /// Requests per second from all instances together.
    double per_second = 0;
};

/// Part of a target's limit that one instance may use.
struct limit_share
{
    double per_second = 0;
    /// Requests that may be saved up while the instance sends none. At least 1 if the rate is not
    /// zero.
    double burst = 0;
    /// Number of instances among which the limit is divided.
    std::size_t holders = 0;

    bool operator==(const limit_share&) const = default;
};

/// Share of `self` in the limit of a target.
///
/// At most limit + 2 instances get a share, in proportion to their demand, because each of them may
/// send one request at any moment: hundreds of instances with a small share each could exceed the
/// limit within seconds. Fewer get one if their demand suffices to use the limit. The instances are
/// chosen by weighted rendezvous hashing, so that all instances with the same reports come to the
/// same result. In any 4 s, the shares add up to at most 5.75 x limit + 3 requests.
///
/// `others` are the reports of the other instances. `missing` is the number of instances that exist
/// but whose reports are unknown; they count as instances of average demand.
[[nodiscard]] limit_share divide_limit(
    const limited_target& target,
    const instance_demand& self,
    const std::vector<instance_demand>& others,
    std::size_t missing);

/// The quota of an organisation, which is divided among the instances that have its callers.
struct divided_quota
{
    /// Hash of the organisation's name.
    std::uint64_t name = 0;
    /// Requests per second from all instances together.
    double per_second = 0;
    /// Requests that all instances together may have saved up.
    double saved = 0;
};

/// Share of `self` in a quota: in proportion to its demand. Only so many instances get one
/// that each can have some requests saved up; they are chosen as in divide_limit(). The rates of
/// all shares add up to that of the quota, and their bursts to `saved`.
[[nodiscard]] limit_share divide_quota(
    const divided_quota& quota,
    const instance_demand& self,
    const std::vector<instance_demand>& others);

/// Instances that have a share in a quota according to these demands.
[[nodiscard]] std::vector<std::uint64_t>
quota_holders(const divided_quota& quota, const std::vector<instance_demand>& demands);

} // namespace catkintally::core
