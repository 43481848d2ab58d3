#include <catkintally/entry/news/peer_directory.hpp>

#include <algorithm>

namespace catkintally::entry
{

namespace
{

/// Instances that have not been known to be alive for this time are removed. The address of a live
/// instance reaches every other one within a few exchanges, which are two seconds apart.
constexpr core::duration retention_period = std::chrono::seconds(12);

/// Maximum number of neighbours in the own failure domain and in others. Traffic between domains is
/// charged for; one link per instance still gives many links between any two domains.
constexpr std::size_t max_near_neighbours = 2;
constexpr std::size_t max_far_neighbours = 1;

/// Seeds are added up to this number of neighbours.
constexpr std::size_t min_neighbours = 2;

} // namespace

peer_directory::peer_directory(
    std::string self,
    std::string failure_domain,
    std::vector<std::string> seeds,
    std::uint64_t seed)
    : self_(std::move(self))
    , failure_domain_(std::move(failure_domain))
    , seeds_(std::move(seeds))
    , random_(seed)
{
    std::erase(seeds_, self_);
}

void peer_directory::record_alive(const live_peer& peer)
{
    if (peer.address == self_ || peer.address.empty())
    {
        return;
    }
    const auto [entry, added] = peers_.try_emplace(peer.address, peer);
    if (!added && entry->second.alive_at < peer.alive_at)
    {
        entry->second = peer;
    }
}

void peer_directory::remove_expired(core::time_point now)
{
    std::erase_if(
        peers_, [now](const auto& each) { return now - each.second.alive_at > retention_period; });
}

std::vector<live_peer> peer_directory::shuffled()
{
    std::vector<live_peer> all;
    for (const auto& [address, peer] : peers_)
    {
        all.push_back(peer);
    }
    for (std::size_t i = all.size(); i > 1; --i)
    {
        std::swap(all[i - 1], all[random_.next() % i]);
    }
    return all;
}

std::vector<std::string> peer_directory::choose_neighbours(const std::vector<std::string>& kept)
{
    std::vector<live_peer> candidates;
    for (const std::string& address : kept)
    {
        if (const auto known = peers_.find(address); known != peers_.end())
        {
            candidates.push_back(known->second);
        }
    }
    const auto others = shuffled();
    candidates.insert(candidates.end(), others.begin(), others.end());
    // All instances dial the seeds at the start. Those that stayed linked to them would have the
    // seeds send each update to the whole fleet.
    std::stable_partition(
        candidates.begin(), candidates.end(),
        [this](const live_peer& each)
        { return std::find(seeds_.begin(), seeds_.end(), each.address) == seeds_.end(); });

    std::vector<std::string> chosen;
    const auto add = [&](const std::string& address)
    {
        const bool known = std::find(chosen.begin(), chosen.end(), address) != chosen.end();
        if (!known)
        {
            chosen.push_back(address);
        }
        return !known;
    };
    std::size_t near = 0;
    std::size_t far = 0;
    for (const live_peer& each : candidates)
    {
        const bool is_near = each.failure_domain == failure_domain_;
        std::size_t& count = is_near ? near : far;
        if (count < (is_near ? max_near_neighbours : max_far_neighbours) && add(each.address))
        {
            ++count;
        }
    }
    for (const std::string& seed : seeds_)
    {
        if (chosen.size() < min_neighbours)
        {
            add(seed);
        }
    }
    return chosen;
}

std::vector<std::string>
peer_directory::choose_others(std::size_t count, const std::vector<std::string>& known)
{
    std::vector<std::string> chosen;
    for (const live_peer& each : shuffled())
    {
        const bool is_known = std::find(known.begin(), known.end(), each.address) != known.end();
        if (!is_known && chosen.size() < count)
        {
            chosen.push_back(each.address);
        }
    }
    return chosen;
}

std::size_t peer_directory::near_instances() const
{
    return 1 +
           static_cast<std::size_t>(std::count_if(
               peers_.begin(), peers_.end(),
               [this](const auto& each) { return each.second.failure_domain == failure_domain_; }));
}

std::vector<live_peer> peer_directory::sample(std::size_t count)
{
    std::vector<live_peer> taken = shuffled();
    taken.resize(std::min(taken.size(), count));
    return taken;
}

} // namespace catkintally::entry
