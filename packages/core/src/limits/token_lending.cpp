#include <catkintally/core/limits/token_lending.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace catkintally::core
{

namespace
{

using std::chrono::milliseconds;

/// Links that an ask may take. Three to five lead to any instance of the largest planned fleet.
constexpr std::uint8_t max_hops = 12;

/// Own asks about one organisation at the same time.
constexpr std::size_t max_open = 4;

/// Asks that are under way through this instance.
constexpr std::size_t max_asks = 2048;

/// Time after which a neighbour's ask is forgotten. Its answer, if it comes later, stays here.
constexpr duration ask_lifetime = milliseconds(1000);

/// Pause after an ask that found nothing; doubles with each further one. An organisation that
/// exceeds its quota has no token anywhere.
constexpr duration first_pause = milliseconds(100);
constexpr duration longest_pause = milliseconds(1600);

} // namespace

token_lending::token_lending(token_lending_options options)
    : options_(std::move(options))
    , random_(options_.seed)
    , next_id_(random_.next() >> 1U)
{
    assert(options_.timers && options_.neighbours && options_.send);
    assert(options_.give && options_.deposit && options_.holder);
}

token_lending::~token_lending()
{
    for (const auto& [id, ask] : asks_)
    {
        options_.timers->cancel(ask.timer);
    }
}

bool token_lending::borrow(
    std::uint32_t organisation,
    std::uint16_t wanted,
    duration limit,
    std::function<void(ask_result)> done)
{
    const auto now = options_.timers->now();
    organisation_state& state = organisations_[organisation];
    const std::uint64_t holder = options_.holder(organisation);
    if (state.open >= max_open || now < state.paused_until || holder == 0)
    {
        return false;
    }
    const token_message ask{
        .kind = token_message_kind::ask,
        .organisation = organisation,
        .holder = holder,
        .hops = max_hops,
        .tokens = wanted};
    if (!pass(ask, {}))
    {
        return false;
    }
    ++state.open;
    const std::uint64_t id = next_id_;
    open_ask& added = asks_.at(id);
    added.done = std::move(done);
    added.timer =
        options_.timers->schedule_after(limit, [this, id] { finish(id, ask_result::no_answer); });
    return true;
}

bool token_lending::pass(token_message ask, const std::string& from)
{
    auto neighbours = options_.neighbours();
    std::erase(neighbours, from);
    const auto is_linked = [&](const std::string& name)
    { return std::find(neighbours.begin(), neighbours.end(), name) != neighbours.end(); };
    const auto route = routes_.find(ask.holder);
    std::string next;
    if (route != routes_.end() && is_linked(route->second))
    {
        next = route->second;
    }
    else if (!neighbours.empty())
    {
        next = neighbours[random_.next() % neighbours.size()];
    }
    remove_expired();
    if (next.empty() || asks_.size() >= max_asks)
    {
        return false;
    }
    const std::uint64_t id = ++next_id_;
    asks_.emplace(
        id, open_ask{
                .organisation = ask.organisation,
                .from = from,
                .id = ask.id,
                .expires_at = options_.timers->now() + ask_lifetime,
                .done = {}});
    ask.id = id;
    options_.send(next, ask);
    return true;
}

void token_lending::remove_expired()
{
    const auto now = options_.timers->now();
    while (!asks_.empty() && asks_.begin()->second.expires_at <= now && !asks_.begin()->second.done)
    {
        asks_.erase(asks_.begin());
    }
}

void token_lending::receive(const token_message& message, const std::string& from)
{
    if (message.kind == token_message_kind::ask)
    {
        on_ask(message, from);
    }
    else
    {
        on_answer(message);
    }
}

void token_lending::on_ask(const token_message& message, const std::string& from)
{
    token_message answer = message;
    answer.kind = token_message_kind::none;
    const std::uint16_t given = options_.give(message.organisation, message.tokens);
    if (given > 0)
    {
        lent_ += given;
        answer.kind = token_message_kind::give;
        answer.tokens = given;
        options_.send(from, answer);
        return;
    }
    token_message next = message;
    next.hops = std::min(next.hops, max_hops);
    if (next.holder == options_.self)
    {
        next.holder = options_.holder(message.organisation);
    }
    if (next.hops == 0 || next.holder == 0)
    {
        options_.send(from, answer);
        return;
    }
    --next.hops;
    if (!pass(next, from))
    {
        options_.send(from, answer);
    }
}

void token_lending::on_answer(const token_message& message)
{
    const bool gives = message.kind == token_message_kind::give;
    const auto found = asks_.find(message.id);
    if (found == asks_.end())
    {
        // The one that asked has given up. The tokens are as good here as there.
        if (gives)
        {
            options_.deposit(message.organisation, message.tokens);
        }
        return;
    }
    if (!found->second.from.empty())
    {
        token_message answer = message;
        answer.id = found->second.id;
        const std::string to = found->second.from;
        asks_.erase(found);
        options_.send(to, answer);
        return;
    }
    if (gives)
    {
        borrowed_ += message.tokens;
        options_.deposit(message.organisation, message.tokens);
    }
    finish(message.id, gives ? ask_result::got : ask_result::none);
}

void token_lending::finish(std::uint64_t id, ask_result result)
{
    const auto found = asks_.find(id);
    if (found == asks_.end())
    {
        return;
    }
    const open_ask ask = std::move(found->second);
    asks_.erase(found);
    options_.timers->cancel(ask.timer);
    organisation_state& state = organisations_[ask.organisation];
    --state.open;
    if (result != ask_result::no_answer)
    {
        state.pause = result == ask_result::got
                          ? duration::zero()
                          : std::clamp(state.pause * 2, first_pause, longest_pause);
    }
    state.paused_until = options_.timers->now() + state.pause;
    ask.done(result);
}

} // namespace catkintally::core
