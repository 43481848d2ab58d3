#include <catkintally/entry/news/peer_book.hpp>

#include <algorithm>

namespace catkintally::entry
{

namespace
{

/// Word of a live instance reaches every other one within a few exchanges, two seconds apart.
constexpr core::duration memory = std::chrono::seconds(12);

/// Neighbours in the own failure domain and elsewhere. Traffic between domains is paid for; one
/// link of each instance still makes many between any two domains.
constexpr std::size_t near_neighbours = 2;
constexpr std::size_t far_neighbours = 1;

/// Fewer neighbours than this are filled up with seeds.
constexpr std::size_t enough_neighbours = 2;

} // namespace

peer_book::peer_book(
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

void peer_book::note_alive(const live_peer& peer)
{
    if (peer.address == self_ || peer.address.empty())
    {
        return;
    }
    const auto [entry, added] = alive_.try_emplace(peer.address, peer);
    if (!added && entry->second.alive_at < peer.alive_at)
    {
        entry->second = peer;
    }
}

void peer_book::forget_old(core::time_point now)
{
    std::erase_if(alive_, [now](const auto& each) { return now - each.second.alive_at > memory; });
}

std::vector<live_peer> peer_book::shuffled()
{
    std::vector<live_peer> all;
    for (const auto& [address, peer] : alive_)
    {
        all.push_back(peer);
    }
    for (std::size_t i = all.size(); i > 1; --i)
    {
        std::swap(all[i - 1], all[random_.next() % i]);
    }
    return all;
}

std::vector<std::string> peer_book::choose(const std::vector<std::string>& kept)
{
    std::vector<live_peer> candidates;
    for (const std::string& address : kept)
    {
        if (const auto known = alive_.find(address); known != alive_.end())
        {
            candidates.push_back(known->second);
        }
    }
    const auto others = shuffled();
    candidates.insert(candidates.end(), others.begin(), others.end());

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
        if (count < (is_near ? near_neighbours : far_neighbours) && add(each.address))
        {
            ++count;
        }
    }
    for (const std::string& seed : seeds_)
    {
        if (chosen.size() < enough_neighbours)
        {
            add(seed);
        }
    }
    return chosen;
}

std::size_t peer_book::near_instances() const
{
    return 1 +
           static_cast<std::size_t>(std::count_if(
               alive_.begin(), alive_.end(),
               [this](const auto& each) { return each.second.failure_domain == failure_domain_; }));
}

std::vector<live_peer> peer_book::sample(std::size_t count)
{
    std::vector<live_peer> taken = shuffled();
    taken.resize(std::min(taken.size(), count));
    return taken;
}

} // namespace catkintally::entry
