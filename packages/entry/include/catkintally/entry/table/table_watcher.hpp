#pragma once

#include <catkintally/core/store/object_store.hpp>
#include <catkintally/core/table/table_builder.hpp>
#include <catkintally/core/time/back_off.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace catkintally::entry
{

/// A revision that was not applied.
struct table_refusal
{
    std::uint64_t revision = 0;
    std::vector<core::table_error> errors;
};

struct table_watcher_options
{
    /// Both must outlive the watcher.
    core::object_store* store = nullptr;
    core::timer_service* timers = nullptr;
    /// Seeded at random, so that instances that lost the store together do not retry in step.
    core::back_off_options back_off{.seed = std::random_device{}()};
    /// Receives each revision that comes into force. Revisions only increase.
    std::function<void(std::shared_ptr<const core::table_snapshot>)> publish;
    /// Called with each revision that is not applied; may be empty.
    std::function<void(const table_refusal&)> refused{};
};

/// Outcome of offering the objects of a peer.
enum class offer_result : std::uint8_t
{
    applied,
    not_newer,
    refused
};

/// Follows the table in the store: lists it, then watches it, and publishes each checked revision.
/// It keeps the last valid revision, and accepts newer ones from peers while the store is down.
/// Late answers, and a store whose version has decreased, never revert it to an older revision.
class table_watcher
{
public:
    explicit table_watcher(table_watcher_options options);
    table_watcher(const table_watcher&) = delete;
    table_watcher& operator=(const table_watcher&) = delete;
    ~table_watcher();

    /// Starts following the store.
    void start();

    /// Applies a peer's objects of revision `revision` if it is newer than the one in force.
    offer_result offer(std::uint64_t revision, const std::vector<core::store_object>& objects);

    /// Objects of the revision in force, to be offered to peers.
    [[nodiscard]] std::vector<core::store_object> objects() const;

    /// Revision in force; nothing until the first one is published.
    [[nodiscard]] std::optional<std::uint64_t> revision() const { return revision_; }

    /// Send time of the latest call that the store has answered.
    [[nodiscard]] std::optional<core::time_point> last_heard() const { return last_heard_; }

    /// The last refused revision, while no newer one is in force.
    [[nodiscard]] const std::optional<table_refusal>& refusal() const { return refusal_; }

private:
    void list();
    void watch();
    void retry(void (table_watcher::*next)());
    void apply_list(const core::store_list_result& answer);
    void apply_events(const core::store_list_result& answer);
    bool accept_version(std::uint64_t version);
    void apply_latest();
    bool apply(std::uint64_t revision, const core::table_objects& objects, const char* source);
    void refuse(std::uint64_t revision, std::vector<core::table_error> errors, const char* source);

    table_watcher_options options_;
    core::back_off back_off_;
    core::table_builder builder_;
    core::timer_id retry_timer_ = 0;
    /// Latest observed state of the store, valid or not.
    core::table_objects latest_;
    std::uint64_t store_version_ = 0;
    std::uint64_t deletion_version_ = 0;
    bool version_regressed_ = false;
    /// State in force.
    core::table_objects in_force_;
    std::optional<std::uint64_t> revision_;
    std::optional<table_refusal> refusal_;
    /// Newest refused revision that came from the store. A refused offer of a peer does not count,
    /// so that it cannot block the store's own revisions.
    std::optional<std::uint64_t> store_refused_;
    std::optional<core::time_point> last_heard_;
    /// Expires with this object; late answers check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace catkintally::entry
