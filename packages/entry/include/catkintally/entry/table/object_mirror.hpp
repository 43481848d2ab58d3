#pragma once

#include <catkintally/core/store/object_store.hpp>
#include <catkintally/core/time/timer_service.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace catkintally::entry
{

/// Changes of objects under one prefix. Each change is true by itself; the digest shows whether
/// earlier ones were missed.
struct object_update
{
    std::string prefix;
    std::uint64_t version = 0;
    /// Digest of all objects after the changes.
    std::uint64_t digest = 0;
    /// `objects` replaces everything under the prefix.
    bool whole = false;
    std::vector<core::store_object> objects;
};

/// What became of an update that was offered.
enum class update_result : std::uint8_t
{
    applied,
    not_newer,
    /// The changes are taken over, but others before them are missing.
    gap
};

/// What is known under one prefix: the store version of the last change, and a digest of the
/// objects. Equal digests mean equal objects, also where versions differ because one of them was
/// learnt from a list.
struct object_state
{
    std::uint64_t version = 0;
    std::uint64_t digest = 0;

    bool operator==(const object_state&) const = default;
};

/// Fixed inputs of an object_mirror. Pointers must outlive it.
struct object_mirror_options
{
    core::object_store* store = nullptr;
    core::timer_service* timers = nullptr;
    /// Pause between an answer with changes and the next watch. Changes often come in series, and
    /// each answer costs a call.
    core::duration pause{};
    /// All objects whose keys begin so are followed.
    std::string prefix;
    /// The objects have changed, or the store has answered for the first time.
    std::function<void()> changed;
    /// The store has sent changes, which other instances may not know yet.
    std::function<void(const object_update&)> updated;
    /// The store has answered a call.
    std::function<void()> heard;
    /// A call has failed; nothing is asked until resume().
    std::function<void()> lost;
};

/// Follows the objects under one prefix: lists them, then watches them, or takes updates that other
/// instances pass on. Old answers that arrive late never move it back. It makes one call at a time,
/// and none by itself after a failure, so that its owner can pace the calls of several mirrors.
class object_mirror
{
public:
    explicit object_mirror(object_mirror_options options);
    ~object_mirror();
    object_mirror(const object_mirror&) = delete;
    object_mirror& operator=(const object_mirror&) = delete;

    /// Asks the store now. A call that is under way is given up: its answer is ignored.
    void resume();

    /// Asks the store nothing any more. An answer that is under way is ignored.
    void halt();

    /// Takes an update that another instance passes on.
    update_result offer(const object_update& update);

    /// Everything that is known, to be passed on.
    [[nodiscard]] object_update whole() const;

    /// The objects by key, as of version().
    [[nodiscard]] const std::map<std::string, core::store_object>& objects() const
    {
        return objects_;
    }

    /// True once the objects are known.
    [[nodiscard]] bool is_listed() const { return version_ != 0; }

    /// Store version of the last change that is known, or of the first list.
    [[nodiscard]] std::uint64_t version() const { return version_; }

    /// Version and digest.
    [[nodiscard]] object_state state() const { return {.version = version_, .digest = digest_}; }

    /// The prefix, as a name in logs.
    [[nodiscard]] const std::string& prefix() const { return options_.prefix; }

private:
    void list();
    void watch();
    void watch_after_pause();
    void take_list(const core::store_list_result& answer);
    void take_events(const core::store_list_result& answer);
    bool apply(const std::vector<core::store_object>& changes);

    object_mirror_options options_;
    std::map<std::string, core::store_object> objects_;
    /// Of all objects; independent of the order in which changes arrived.
    std::uint64_t digest_ = 0;
    std::uint64_t version_ = 0;
    /// Store version that the last answer reflects; watches go on from here.
    std::uint64_t watched_ = 0;
    core::timer_id pause_timer_ = 0;
    /// Number of the call under way; answers to earlier ones are ignored. Expires with this object.
    std::shared_ptr<std::uint64_t> call_ = std::make_shared<std::uint64_t>(0);
};

} // namespace catkintally::entry
