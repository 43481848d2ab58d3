#pragma once

#include <catkintally/core/table/configuration.hpp>
#include <catkintally/core/table/table_snapshot.hpp>
#include <catkintally/core/time/back_off.hpp>
#include <catkintally/entry/table/missing_entry_hold.hpp>
#include <catkintally/entry/table/object_mirror.hpp>
#include <catkintally/entry/table/refused_objects.hpp>
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
    /// Store for the configuration and the targets. Its watches last less than half of the time in
    /// which a change must be in force, since a watch may have been cut without a sign.
    core::object_store* store = nullptr;
    /// Store for evacuations, which may take longer to come into force. Each watch costs a call.
    core::object_store* long_watch_store = nullptr;
    core::timer_service* timers = nullptr;
    /// Name of this instance, to tell the others who read an era.
    std::string self{};
    /// Retries as a percentage of the requests of each service.
    std::uint32_t retry_budget_percent = 10;
    /// Seeded at random, so that instances that lost the store together do not retry in step.
    core::back_off_options back_off{
        .first = std::chrono::milliseconds(150),
        .limit = std::chrono::milliseconds(1000),
        .seed = std::random_device{}()};
    /// Receives each table that comes into force.
    std::function<void(std::shared_ptr<const core::table_snapshot>)> publish;
    /// Called with changes that the store has sent, to forward to other instances; may be empty.
    std::function<void(const object_update&)> updated{};
    /// Called with whether the store answered: false for each failed call; true for each answer
    /// about targets once all kinds have been answered since the last failure; may be empty.
    std::function<void(bool reached)> on_call_result{};
    /// Called when the store has answered the cheap call that comes before lists; may be empty.
    std::function<void()> on_probed{};
    /// What other instances tell about the store.
    missing_entry_hold_options missing_entries{};
};

/// Era of the store, and how it became known.
struct known_store_era
{
    std::uint64_t era = 0;
    core::time_point since{};
    /// Instance that read it from the store.
    std::string reader;
};

/// Follows the configuration, the targets and the evacuated failure domains that the hosting
/// platform keeps as objects, and publishes tables made of them. It reads them from the store, or
/// applies updates that other instances forward. The last valid configuration stays in force until
/// a newer one arrives. When the store returns from an older copy (a new era), all objects are read
/// anew, and what the copy lacks stays in force until its writers have had time to write it again.
class configuration_follower
{
public:
    explicit configuration_follower(configuration_follower_options options);
    ~configuration_follower();
    configuration_follower(const configuration_follower&) = delete;
    configuration_follower& operator=(const configuration_follower&) = delete;

    /// Starts or stops reading the store.
    void set_reading(bool reading);

    /// Applies an update that another instance forwards.
    update_result offer(const object_update& update);

    /// All known objects under a prefix as one update, to be forwarded; nothing while they are
    /// unknown.
    [[nodiscard]] std::optional<object_update> whole(const std::string& prefix) const;

    /// Version and digest by prefix, of the prefixes whose objects are known.
    [[nodiscard]] std::map<std::string, object_state> states() const;

    /// Notes that the store is available again after an outage in which entries may have expired.
    void note_store_returned();

    /// Version of the configuration in force; nothing until the first table is published.
    [[nodiscard]] std::optional<std::uint64_t> version() const;

    /// Longest time since the store has answered about one of the kinds; 0 while this instance does
    /// not read.
    [[nodiscard]] core::duration longest_silence() const;

    /// Era of the store; nothing while it has not named one.
    [[nodiscard]] const std::optional<known_store_era>& era() const { return era_; }

    /// How often an object could not be used.
    [[nodiscard]] std::uint64_t refused_count() const { return refused_objects_.count(); }

    /// True while the store answers.
    [[nodiscard]] bool is_in_contact() const { return reading_ && !unreachable_since_; }

private:
    [[nodiscard]] object_mirror_options
    mirror_options(core::object_store* store, std::string_view prefix, std::size_t index);
    [[nodiscard]] object_mirror* find(const std::string& prefix) const;
    void on_store_answered(std::size_t index);
    /// A call of a mirror has failed. The first failure is checked with the cheapest call before
    /// the others hear of it: connections are also cut while the store is well.
    void on_mirror_call_failed(std::size_t index);
    void on_call_failed(std::size_t index);
    /// Notes that the mirror is not in contact any more.
    void mark_failed(std::size_t index);
    void on_history_lost(std::size_t index);
    void on_unreadable(std::size_t index, const core::store_list_result& answer);
    void report_contact(std::size_t index);
    /// `reading_mirror` is the mirror that received the answer, if there is one.
    void adopt_era(
        std::uint64_t era, const std::string& reader, std::optional<std::size_t> reading_mirror);
    void on_earlier_era(std::uint64_t era);
    [[nodiscard]] std::function<std::uint64_t(const core::store_object&)> content_hook();
    [[nodiscard]] const std::optional<core::configuration>&
    decode_configuration(const core::store_object& object);
    /// Objects of the domains that are out, by domain.
    [[nodiscard]] std::map<std::string, core::store_object> evacuations_in_force() const;
    [[nodiscard]] object_update with_era_reader(object_update update) const;
    /// Tries whether the store answers, and if so resumes the mirror `index`, or all mirrors if
    /// none has failed.
    void probe(std::size_t index);
    void retry();
    void on_changed();
    void apply_configuration();
    void apply_evacuations();
    void update();
    void publish();

    configuration_follower_options options_;
    core::back_off back_off_;
    /// Configuration, targets, evacuations.
    std::vector<std::unique_ptr<object_mirror>> mirrors_;
    /// Mirrors whose last call failed.
    std::vector<bool> failed_;
    /// Mirrors that were answered since this instance began to read or the mirror's last failure.
    std::vector<bool> answered_;
    /// Time of the last answer to each mirror.
    std::vector<core::time_point> last_answers_;
    /// All mirrors are answered.
    bool complete_ = false;
    /// Number of the current probe; answers to earlier ones are ignored. Expires with this object.
    std::shared_ptr<std::uint64_t> current_probe_ = std::make_shared<std::uint64_t>(0);
    refused_objects refused_objects_;
    target_registry registry_;
    missing_entry_hold missing_entry_hold_;
    std::optional<core::configuration> configuration_;
    core::store_position seen_configuration_;
    /// The object decoded last, because a reader needs its version before it comes into force.
    std::optional<core::configuration> decoded_;
    std::optional<core::store_position> decoded_position_;
    std::map<std::string, core::domain_row> domains_;
    /// Objects of the domains that are out, by domain.
    std::map<std::string, core::store_object> out_objects_;
    /// Last positions of the objects of domains that were taken in again.
    std::map<std::string, core::store_position> ended_evacuations_;
    std::optional<known_store_era> era_;
    bool earlier_era_logged_ = false;
    /// The call that checks a first failure is under way.
    bool checking_failure_ = false;
    /// Until then, evacuations that the store's copy lacks stay in force, and those that had ended
    /// do not come back.
    core::time_point evacuations_held_until_{};
    std::optional<core::time_point> unreachable_since_;
    core::timer_id retry_timer_ = 0;
    core::timer_id update_timer_ = 0;
    bool published_ = false;
    bool reading_ = false;
};

} // namespace catkintally::entry
