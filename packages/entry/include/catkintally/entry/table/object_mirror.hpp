#pragma once

#include <catkintally/core/store/object_store.hpp>
#include <catkintally/core/time/timer_service.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkintally::entry
{

/// What turns the value of an object at the position `base` into its next value
/// (wire::apply_delta).
struct object_delta
{
    core::store_position base;
    std::string bytes;
};

/// Changes of objects under one prefix. Each change is valid by itself; the digest shows whether
/// earlier changes were missed.
struct object_update
{
    std::string prefix;
    std::uint64_t version = 0;
    /// Digest of all objects after the changes.
    std::uint64_t digest = 0;
    /// `objects` replaces everything under the prefix.
    bool whole = false;
    std::vector<core::store_object> objects;
    /// Era of the store that `version` belongs to.
    std::uint64_t era = 0;
    /// Instance that read the era from the store.
    std::string era_reader{};
    /// Changes of large values, by key. Such an object may come without its value.
    std::map<std::string, object_delta> deltas{};

    [[nodiscard]] core::store_position position() const { return {.era = era, .version = version}; }
};

/// Outcome of offering an update.
enum class update_result : std::uint8_t
{
    applied,
    not_newer,
    /// Earlier changes are missing. The changes were applied, unless the objects were unknown.
    gap
};

/// State of the objects under one prefix: the store version of the last change, and a digest of the
/// objects. Equal digests mean equal objects, also where versions differ because one of them was
/// obtained from a list.
struct object_state
{
    std::uint64_t version = 0;
    std::uint64_t digest = 0;
    std::uint64_t era = 0;
    /// Newest content of the objects (core::store_object::content).
    std::uint64_t content = 0;

    [[nodiscard]] core::store_position position() const { return {.era = era, .version = version}; }

    /// True if an instance in this state can learn nothing from one in the other state.
    [[nodiscard]] bool covers(const object_state& other) const;

    bool operator==(const object_state&) const = default;
};

/// Fixed inputs of an object_mirror. Pointers must outlive it.
struct object_mirror_options
{
    core::object_store* store = nullptr;
    core::timer_service* timers = nullptr;
    /// Pause between an answer with changes and the next watch. Changes often come in bursts, and
    /// each answer costs a call.
    core::duration pause{};
    /// Key prefix of the objects to follow.
    std::string prefix;
    /// The objects have changed, or the store has answered for the first time.
    std::function<void()> changed;
    /// The store has sent changes, which other instances may not have received yet.
    std::function<void(const object_update&)> updated;
    /// The store has answered a call.
    std::function<void()> on_answered;
    /// The store could not continue a watch, because its history does not reach back far enough;
    /// may be empty.
    std::function<void()> on_history_lost{};
    /// Version that the writer gives an object's content, 0 if the object cannot be used. Empty for
    /// kinds without one.
    std::function<std::uint64_t(const core::store_object&)> content{};
    /// Era of the store, if it is known. May be empty, as the next two.
    std::function<std::optional<std::uint64_t>()> known_era{};
    /// An answer names a later era, which is in force from now on.
    std::function<void(std::uint64_t era)> on_new_era{};
    /// An answer names an earlier era.
    std::function<void(std::uint64_t era)> on_earlier_era{};
    /// An answer has entries that cannot be read, listed with those that can; may be empty.
    std::function<void(const core::store_list_result&)> on_unreadable{};
    /// Larger objects are kept without their value and status, so that one does not fill the
    /// memory of all instances, or the messages between them. 0: any size.
    std::size_t max_object_bytes = 0;
    /// A call has failed; no further call is made until resume().
    std::function<void()> on_call_failure;
};

/// Follows the objects under one prefix: lists them, then watches them, or applies updates that
/// other instances forward. Late answers never revert it to an older state. It makes one call at a
/// time, and none by itself after a failure, so that its owner can pace the calls of several
/// mirrors.
class object_mirror
{
public:
    explicit object_mirror(object_mirror_options options);
    ~object_mirror();
    object_mirror(const object_mirror&) = delete;
    object_mirror& operator=(const object_mirror&) = delete;

    /// Lists the objects now. The answer to a call in progress is ignored.
    void resume();

    /// Stops calling the store. The answer to a call in progress is ignored.
    void halt();

    /// Applies an update that another instance forwards.
    update_result offer(const object_update& offered);

    /// All known objects as one update, to be forwarded.
    [[nodiscard]] object_update whole() const;

    /// The objects by key, as of version().
    [[nodiscard]] const std::map<std::string, core::store_object>& objects() const
    {
        return objects_;
    }

    /// True once the objects are known.
    [[nodiscard]] bool is_listed() const { return position_.version != 0; }

    /// Store version of the last change that is known, or of the first list.
    [[nodiscard]] std::uint64_t version() const { return position_.version; }

    /// Era of the store that version() belongs to.
    [[nodiscard]] std::uint64_t era() const { return position_.era; }

    /// Position, digest and newest content.
    [[nodiscard]] object_state state() const;

    /// The key prefix; also names the mirror in logs.
    [[nodiscard]] const std::string& prefix() const { return options_.prefix; }

private:
    void list();
    void watch();
    void list_after_gap();
    void watch_after_pause();
    /// Reports the answer to the owner. False if the owner has halted or resumed the mirror because
    /// of it.
    bool note_answered();
    /// Makes the era that the answer names the known one. False if the answer may be a late one
    /// from an earlier era.
    bool accept_era(const core::store_list_result& answer);
    /// Adds era and content to the objects of an answer, and reports the unreadable entries.
    void complete_answer(core::store_list_result& answer) const;
    void limit_size(core::store_object& object) const;
    void apply_list(core::store_list_result answer);
    void apply_events(core::store_list_result answer);
    bool apply(const std::vector<core::store_object>& changes);
    update_result apply_update(const object_update& update);
    /// Deltas from the known objects to large new ones.
    [[nodiscard]] std::map<std::string, object_delta>
    deltas_to(const std::vector<core::store_object>& changes) const;
    /// Fills in the values that the update has only as deltas, and drops the objects that are not
    /// newer than the known ones. False if the base of a delta is not known; that object is
    /// dropped, too.
    bool restore_values(object_update& update) const;
    /// Applies the objects that are newer in content than the known ones.
    bool apply_newer_content(const std::vector<core::store_object>& objects);
    /// Replaces all objects, except those that are newer in content than the given ones and those
    /// of which the store holds an entry that cannot be read.
    void replace(
        const std::vector<core::store_object>& objects,
        const std::vector<core::unreadable_entry>& unreadable = {});
    void log_older_content(const core::store_object& listed, const core::store_object& known);
    [[nodiscard]] std::uint64_t known_era() const;
    [[nodiscard]] std::uint64_t digest() const;

    object_mirror_options options_;
    std::map<std::string, core::store_object> objects_;
    /// Sum over all objects, so independent of the order in which changes arrived.
    std::uint64_t objects_digest_ = 0;
    core::store_position position_;
    /// Store version that the last answer reflects; the next watch starts from here.
    std::uint64_t watch_version_ = 0;
    std::uint64_t watch_era_ = 0;
    /// An answer has named an earlier era, and none the known one since.
    bool earlier_era_named_ = false;
    /// Position of the last listed object that was older in content than the known one.
    core::store_position older_content_;
    core::timer_id pause_timer_ = 0;
    /// When the last list after a gap in the history was started or is due.
    std::optional<core::time_point> last_gap_list_;
    /// Number of the current call; answers to earlier ones are ignored. Expires with this object.
    std::shared_ptr<std::uint64_t> current_call_ = std::make_shared<std::uint64_t>(0);
};

} // namespace catkintally::entry
