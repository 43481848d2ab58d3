#pragma once

#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/core/time/timer_service.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace catkintally::entry
{

/// Another instance that was alive a while ago.
struct live_peer
{
    std::string address;
    std::string failure_domain;
    core::time_point alive_at{};
};

/// Instances that were alive a while ago, as this one or others saw it. Use it to choose neighbours
/// and to estimate the number of instances.
class peer_book
{
public:
    /// `self` is never listed; `seeds` are used while too few other addresses are known.
    peer_book(
        std::string self,
        std::string failure_domain,
        std::vector<std::string> seeds,
        std::uint64_t seed);

    /// An instance was alive at the time that is given with it.
    void note_alive(const live_peer& peer);

    /// Forgets addresses that were not known to be alive for long.
    void forget_old(core::time_point now);

    /// Neighbours to dial: some of the own failure domain and one of another, those in `kept`
    /// first, the others at random; seeds if there are too few.
    [[nodiscard]] std::vector<std::string> choose(const std::vector<std::string>& kept);

    /// Up to `count` random instances.
    [[nodiscard]] std::vector<live_peer> sample(std::size_t count);

    /// Estimated number of live instances, this one included.
    [[nodiscard]] std::size_t instances() const { return alive_.size() + 1; }

    /// As instances(), of the own failure domain.
    [[nodiscard]] std::size_t near_instances() const;

private:
    [[nodiscard]] std::vector<live_peer> shuffled();

    std::string self_;
    std::string failure_domain_;
    std::vector<std::string> seeds_;
    core::split_mix random_;
    std::map<std::string, live_peer> alive_;
};

} // namespace catkintally::entry
