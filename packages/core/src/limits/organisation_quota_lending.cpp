#include <catkintally/core/limits/organisation_quota.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

// The part of organisation_quota that borrows tokens from other instances and lends them.

namespace catkintally::core
{

namespace
{

using std::chrono::milliseconds;

/// A token that is due within this time is waited for; none is borrowed.
constexpr duration short_wait = milliseconds(20);

/// Longest time for which an answer about a token is waited for. A link takes a few milliseconds.
constexpr duration borrow_time = milliseconds(120);

/// Asks for one request, each to another holder, while there is no answer.
constexpr int max_asks = 3;

/// Tokens that are handed over at once, and part of those that are there.
constexpr double most_given = 4;
constexpr double part_given = 0.5;

} // namespace

token_lending_options organisation_quota::lending_options()
{
    return {
        .timers = options_.timers,
        .self = name_hash(options_.self),
        .seed = random_.next(),
        .neighbours = [this]
        { return options_.neighbours ? options_.neighbours() : std::vector<std::string>(); },
        .send =
            [this](const std::string& neighbour, const token_message& message)
        {
            if (options_.send_tokens)
            {
                options_.send_tokens(neighbour, message);
            }
        },
        .give = [this](std::uint32_t organisation, std::uint16_t most)
        { return give(organisation, most); },
        .deposit =
            [this](std::uint32_t organisation, std::uint16_t tokens)
        {
            if (quota* found = find(organisation))
            {
                found->bucket.deposit(tokens, options_.timers->now());
            }
        },
        .holder =
            [this](std::uint32_t organisation)
        {
            const quota* found = find(organisation);
            if (found == nullptr || found->holders.empty())
            {
                return std::uint64_t{0};
            }
            const auto& holders = found->holders;
            const std::size_t first = random_.next() % holders.size();
            const std::uint64_t chosen = holders[first];
            return chosen != name_hash(options_.self) ? chosen
                   : holders.size() > 1               ? holders[(first + 1) % holders.size()]
                                                      : std::uint64_t{0};
        }};
}

void organisation_quota::request(
    const std::string& organisation,
    duration longest_wait,
    const std::function<void(const quota_decision&)>& done)
{
    quota* found = find(organisation);
    if (found == nullptr)
    {
        done({});
        return;
    }
    record(*found);
    obtain(organisation, options_.timers->now() + longest_wait, max_asks, done);
}

void organisation_quota::obtain(
    const std::string& organisation,
    time_point latest,
    int asks,
    const std::function<void(const quota_decision&)>& done)
{
    quota* found = find(organisation);
    if (found == nullptr)
    {
        // The quota was removed in the meantime.
        done({});
        return;
    }
    update_share(*found);
    const auto now = options_.timers->now();
    const duration left = std::max(latest - now, duration::zero());
    const duration wait = found->bucket.time_until(1, now);
    if (asks > 0 && left > duration::zero() && wait > std::min(short_wait, left))
    {
        const auto answered = [this, organisation, latest, asks, done](ask_result result)
        {
            quota* current = find(organisation);
            if (result == ask_result::got && current != nullptr)
            {
                // At once, as the bucket of an instance without a share keeps no whole token.
                current->bucket.take(options_.timers->now());
                ++current->admitted;
                done({});
                return;
            }
            obtain(organisation, latest, result == ask_result::no_answer ? asks - 1 : 0, done);
        };
        const auto hash = static_cast<std::uint32_t>(organisation_hash(organisation));
        // What exceeds the own bucket would be lost.
        const auto wanted =
            static_cast<std::uint16_t>(std::clamp(found->share.burst / 2, 1.0, most_given));
        if (lending_.borrow(hash, wanted, std::min(borrow_time, left), answered))
        {
            return;
        }
    }
    done(decide(*found, left));
}

std::uint16_t organisation_quota::give(std::uint32_t organisation, std::uint16_t most)
{
    quota* found = find(organisation);
    if (found == nullptr)
    {
        return 0;
    }
    update_share(*found);
    const auto now = options_.timers->now();
    if (!found->bucket.has_token(now))
    {
        return 0;
    }
    const double wanted = std::clamp<double>(most, 1, most_given);
    const double given =
        std::clamp(std::floor(found->bucket.tokens(now) * part_given), 1.0, wanted);
    found->bucket.deposit(-given, now);
    return static_cast<std::uint16_t>(given);
}

} // namespace catkintally::core
