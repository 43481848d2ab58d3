#pragma once

#include <catkintally/core/admission/probing_gateway.hpp>
#include <catkintally/core/fleet/member.hpp>
#include <catkintally/entry/news/peer_book.hpp>
#include <catkintally/entry/peers/peer_network.hpp>
#include <catkintally/entry/table/object_mirror.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkintally::entry
{

/// Fixed inputs of a news_exchange. Pointers must outlive it.
struct news_exchange_options
{
    runtime::event_loop* loop = nullptr;
    core::timer_service* timers = nullptr;
    core::member self;
    /// Address to listen on, usually the peer address of `self`.
    std::string listen_address;
    /// Shared key of all instances; empty turns authentication off.
    std::string key;
    /// Addresses of some instances, which may be out of date.
    std::vector<std::string> seeds;
    std::uint64_t seed = 0;
    /// Takes an update that another instance passes on.
    std::function<update_result(const object_update&)> offer;
    /// Everything that is known under a prefix.
    std::function<std::optional<object_update>(const std::string& prefix)> whole;
    /// What is known, by prefix.
    std::function<std::map<std::string, object_state>()> states;
    /// A reader's word, with its age. Not called while news that the reader has are missing here.
    std::function<void(const std::string& reader, wire::reader_state state, core::duration age)>
        on_reader_state;
    /// Another instance saw a crash; true if it is new here, and is passed on.
    std::function<bool(const core::target_crash&)> heard_crash;
    /// Crashes to tell an instance that starts.
    std::function<std::vector<core::target_crash>()> suspected_crashes;
    /// Another instance got an answer to a suspected request; true if that is new here.
    std::function<bool(std::uint64_t fingerprint)> heard_cleared;
};

/// Passes news of the store between instances. Each instance has links to a few others, chosen at
/// random; what is new to it goes on to all of them at once, so that news reach everyone in a few
/// hops, at a cost for each instance that does not grow with their number. A gap is filled by the
/// neighbour that showed it.
class news_exchange
{
public:
    explicit news_exchange(news_exchange_options options);
    ~news_exchange();
    news_exchange(const news_exchange&) = delete;
    news_exchange& operator=(const news_exchange&) = delete;

    /// Starts to listen and to dial. False if the address is not available.
    [[nodiscard]] bool start();

    /// Passes on changes that this instance has read from the store.
    void tell_update(const object_update& update);

    /// Passes on that a target crashed while it ran a request.
    void tell_crash(const core::target_crash& crash);

    /// Passes on that a suspected request was answered.
    void tell_cleared(std::uint64_t fingerprint);

    /// Passes on how this instance fares at the store.
    void tell_reader_state(wire::reader_state state);

    /// Estimated number of live instances, this one included.
    [[nodiscard]] std::size_t instances() const;

    /// True while a neighbour's answer to a pull is awaited.
    [[nodiscard]] bool awaits_update() const;

    /// Live instances by failure domain. Until they have been counted, the largest fleet is
    /// assumed.
    [[nodiscard]] core::fleet_size fleet() const;

    [[nodiscard]] const peer_counters& counters() const { return network_.counters(); }

private:
    /// Word of a reader, and when it came.
    struct heard_word
    {
        wire::reader_word_data word;
        core::time_point at{};
    };
    /// The answer to pulls, encoded once for all that ask.
    struct encoded_whole
    {
        object_state state;
        std::string frame;
    };

    void on_linked(const core::member_id& peer);
    void receive(const core::member& from, const wire::payloadUnion& message);
    void on_update(const core::member& from, const wire::news_update_data& message);
    void on_pull(const core::member& from, const wire::news_pull_data& message);
    void on_word(const core::member& from, const wire::reader_word_data& message);
    /// Takes and passes on a word, unless a newer one of its reader was taken.
    void take_word(const core::member_id& from, const heard_word& heard);
    /// Takes the words that waited for news that have come meanwhile.
    void take_awaited_words(const core::member_id& from);
    /// True if what is known here is as new as this.
    [[nodiscard]] static bool
    covers(const std::map<std::string, object_state>& own, const wire::news_state_data& known);
    void on_sample(const wire::peer_sample_data& message);
    void on_census(const core::member& from, const wire::census_data& message);
    void exchange_census();
    [[nodiscard]] wire::payloadUnion census_message() const;
    /// Asks for what is missing; true if nothing is.
    bool pull_missing(
        const core::member_id& from,
        const std::vector<std::unique_ptr<wire::news_state_data>>& known);
    void pull(const core::member_id& from, const std::string& prefix);
    void on_crash(const core::member& from, const wire::crash_notice_data& message);
    [[nodiscard]] wire::payloadUnion notice_of(const core::target_crash& crash) const;
    [[nodiscard]] wire::reader_word_data word(wire::reader_state state);
    [[nodiscard]] wire::payloadUnion greeting();
    void exchange_peers();

    news_exchange_options options_;
    peer_book book_;
    peer_network network_;
    std::uint64_t sequence_ = 0;
    /// Newest word of each reader that was passed on.
    std::map<std::string, heard_word> readers_;
    /// Newest words of readers that know more than this instance.
    std::map<std::string, heard_word> awaited_;
    std::map<std::string, encoded_whole> wholes_;
    /// When everything under a prefix was asked for last.
    std::map<std::string, core::time_point> pulled_;
    std::vector<std::string> neighbours_;
    core::fleet_size_estimator census_;
    /// Neighbours know less of the census than this instance.
    bool census_changed_ = true;
    core::timer_id exchange_timer_ = 0;
    core::timer_id census_timer_ = 0;
};

} // namespace catkintally::entry
