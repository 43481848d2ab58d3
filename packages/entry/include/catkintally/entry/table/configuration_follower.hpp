#pragma once

#include <catkintally/core/table/configuration.hpp>
#include <catkintally/core/table/table_snapshot.hpp>
#include <catkintally/core/time/back_off.hpp>
#include <catkintally/entry/table/object_mirror.hpp>
#include <catkintally/entry/table/target_registry.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace catkintally::entry
{

/// Fixed inputs of a configuration_follower. Pointers must outlive it.
struct configuration_follower_options
{
    /// Store for targets; its watches are short, so that a silent store is noticed.
    core::object_store* store = nullptr;
    /// Store for objects that change rarely; its watches are long, because each costs a call.
    core::object_store* quiet_store = nullptr;
    core::timer_service* timers = nullptr;
    /// Retries as a percentage of the requests of each service.
    std::uint32_t retry_budget_percent = 10;
    /// Seeded at random, so that instances that lost the store together do not return together.
    core::back_off_options back_off{
        .first = std::chrono::milliseconds(150),
        .limit = std::chrono::milliseconds(1000),
        .seed = std::random_device{}()};
    /// Receives each table that comes into force.
    std::function<void(std::shared_ptr<const core::table_snapshot>)> publish;
    /// Told of changes that the store has sent, for other instances; may be empty.
    std::function<void(const object_update&)> updated{};
    /// Told whether a call to the store was answered; may be empty.
    std::function<void(bool reached)> called{};
};

/// Follows the configuration, the targets and the evacuated failure domains that the hosting
/// platform keeps as objects, and publishes tables made of them. It reads them from the store, or
/// takes what other instances pass on. The last good configuration stays in force while there is no
/// news.
class configuration_follower
{
public:
    explicit configuration_follower(configuration_follower_options options);
    ~configuration_follower();
    configuration_follower(const configuration_follower&) = delete;
    configuration_follower& operator=(const configuration_follower&) = delete;

    /// Begins or ends to read the store.
    void set_reading(bool reading);

    /// Takes an update that another instance passes on.
    update_result offer(const object_update& update);

    /// Everything that is known under a prefix, to be passed on; nothing if that is nothing.
    [[nodiscard]] std::optional<object_update> whole(const std::string& prefix) const;

    /// What is known, by prefix.
    [[nodiscard]] std::map<std::string, object_state> states() const;

    /// News come again after there were none for a while, in which entries may have lapsed.
    void note_regained();

    /// Version of the configuration in force; nothing until the first table is published.
    [[nodiscard]] std::optional<std::uint64_t> version() const;

    /// True while the store answers.
    [[nodiscard]] bool is_in_contact() const { return reading_ && !lost_since_; }

private:
    [[nodiscard]] object_mirror_options
    mirror_options(core::object_store* store, std::string_view prefix, std::size_t index);
    [[nodiscard]] object_mirror* find(const std::string& prefix) const;
    void on_heard(std::size_t index);
    void on_lost(std::size_t index);
    void retry();
    void on_changed();
    void take_configuration();
    void take_evacuations();
    void update();
    void publish();

    configuration_follower_options options_;
    core::back_off back_off_;
    /// Configuration, targets, evacuations.
    std::vector<std::unique_ptr<object_mirror>> mirrors_;
    /// Mirrors whose last call failed.
    std::vector<bool> failed_;
    target_registry registry_;
    std::optional<core::configuration> configuration_;
    std::uint64_t seen_configuration_ = 0;
    std::map<std::string, core::domain_row> domains_;
    std::optional<core::time_point> lost_since_;
    /// Entries that are missing before this time may have lapsed while the store was away.
    core::time_point trusted_from_{};
    core::timer_id retry_timer_ = 0;
    core::timer_id update_timer_ = 0;
    bool published_ = false;
    bool reading_ = false;
};

} // namespace catkintally::entry
