#pragma once

#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/core/limits/token_message.hpp>
#include <catkintally/core/time/timer_service.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace catkintally::core
{

/// How an ask ended.
enum class ask_result : std::uint8_t
{
    got,
    none,
    /// An instance on the way has gone, or is slow.
    no_answer
};

/// Fixed inputs of a token_lending; all hooks are required.
struct token_lending_options
{
    /// Source of time; must outlive the object.
    timer_service* timers = nullptr;
    /// Hash of this instance's name.
    std::uint64_t self = 0;
    std::uint64_t seed = 0;
    /// Names of the instances with a link.
    std::function<std::vector<std::string>()> neighbours;
    std::function<void(const std::string& neighbour, const token_message&)> send;
    /// Takes tokens that can be spared out of the own bucket, `most` at most; returns their
    /// number.
    std::function<std::uint16_t(std::uint32_t organisation, std::uint16_t most)> give;
    /// Puts tokens into the own bucket.
    std::function<void(std::uint32_t organisation, std::uint16_t tokens)> deposit;
    /// Some other instance that probably holds tokens; 0 if none is known.
    std::function<std::uint64_t(std::uint32_t organisation)> holder;
};

/// Moves tokens from instances that have some to instances that need one, on demand. An ask travels
/// over the links towards an instance with a share of the quota, the way that instance's demand
/// report came. Each instance on the way that has a token gives it; a holder without one sends the
/// ask on to another holder. Tokens are moved and never created, so a lost message costs a token
/// and cannot break the quota.
class token_lending
{
public:
    explicit token_lending(token_lending_options options);
    ~token_lending();
    token_lending(const token_lending&) = delete;
    token_lending& operator=(const token_lending&) = delete;

    /// Notes that the news of an instance came from this neighbour.
    void note_route(std::uint64_t instance, const std::string& neighbour)
    {
        routes_.insert_or_assign(instance, neighbour);
    }

    /// Asks others for tokens, `wanted` at most; `done` is called once, within `limit`, with the
    /// tokens that have been put into the own bucket. False, without a call, if it makes no sense
    /// to ask now.
    bool borrow(
        std::uint32_t organisation,
        std::uint16_t wanted,
        duration limit,
        std::function<void(ask_result)> done);

    void receive(const token_message& message, const std::string& from);

    /// Tokens that this instance got, and gave.
    [[nodiscard]] std::uint64_t borrowed() const { return borrowed_; }
    [[nodiscard]] std::uint64_t lent() const { return lent_; }

private:
    /// An own ask, or one that was passed on for a neighbour.
    struct open_ask
    {
        std::uint32_t organisation = 0;
        /// Neighbour that is waiting; empty for an own ask.
        std::string from;
        std::uint64_t id = 0;
        time_point expires_at{};
        std::function<void(ask_result)> done;
        timer_id timer = 0;
    };
    struct organisation_state
    {
        std::size_t open = 0;
        time_point paused_until{};
        duration pause{};
    };

    void on_ask(const token_message& message, const std::string& from);
    void on_answer(const token_message& message);
    void finish(std::uint64_t id, ask_result result);
    /// Sends an ask on its way; false if there is no neighbour to send it to.
    bool pass(token_message ask, const std::string& from);
    void remove_expired();

    token_lending_options options_;
    split_mix random_;
    std::uint64_t next_id_;
    /// By id, which increases with time.
    std::map<std::uint64_t, open_ask> asks_;
    std::unordered_map<std::uint32_t, organisation_state> organisations_;
    /// Neighbour over which the latest news of each instance came.
    std::unordered_map<std::uint64_t, std::string> routes_;
    std::uint64_t borrowed_ = 0;
    std::uint64_t lent_ = 0;
};

} // namespace catkintally::core
