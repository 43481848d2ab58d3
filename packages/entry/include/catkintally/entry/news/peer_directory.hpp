#pragma once

#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/core/time/timer_service.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace catkintally::entry
{

/// Another instance, and when it was last known to be alive.
struct live_peer
{
    std::string address;
    std::string failure_domain;
    core::time_point alive_at{};
};

/// Instances that this instance or another one has recently known to be alive. Chooses the
/// neighbours to dial and gives an estimate of the number of instances.
class peer_directory
{
public:
    /// `self` is this instance's address, which is never listed; `seeds` are addresses that are
    /// used while too few others are known.
    peer_directory(
        std::string self,
        std::string failure_domain,
        std::vector<std::string> seeds,
        std::uint64_t seed);

    /// Records that an instance was alive at `peer.alive_at`. Has no effect unless that is later
    /// than the time known for its address.
    void record_alive(const live_peer& peer);

    /// Removes instances that have not been known to be alive within the retention period.
    void remove_expired(core::time_point now);

    /// Addresses of neighbours to dial: up to two in the own failure domain and one elsewhere,
    /// those in `kept` first, then random ones. Seeds are added if there are fewer than two.
    [[nodiscard]] std::vector<std::string> choose_neighbours(const std::vector<std::string>& kept);

    /// Addresses of up to `count` instances, chosen at random from those that are not in `known`.
    [[nodiscard]] std::vector<std::string>
    choose_others(std::size_t count, const std::vector<std::string>& known);

    /// Up to `count` instances, chosen at random.
    [[nodiscard]] std::vector<live_peer> sample(std::size_t count);

    /// Estimated number of live instances, this one included.
    [[nodiscard]] std::size_t instances() const { return peers_.size() + 1; }

    /// As instances(), in the own failure domain only.
    [[nodiscard]] std::size_t near_instances() const;

private:
    [[nodiscard]] std::vector<live_peer> shuffled();

    std::string self_;
    std::string failure_domain_;
    std::vector<std::string> seeds_;
    core::split_mix random_;
    std::map<std::string, live_peer> peers_;
};

} // namespace catkintally::entry
