#pragma once

#include <catkintally/core/store/object_store.hpp>
#include <catkintally/core/time/timer_service.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace catkintally::entry
{

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
    /// The store has answered a call.
    std::function<void()> heard;
    /// A call has failed; nothing is asked until resume().
    std::function<void()> lost;
};

/// Follows the objects under one prefix: lists them, then watches them. Old answers that arrive
/// late never move it back. It makes one call at a time, and none by itself after a failure, so
/// that its owner can pace the calls of several mirrors.
class object_mirror
{
public:
    explicit object_mirror(object_mirror_options options);
    ~object_mirror();
    object_mirror(const object_mirror&) = delete;
    object_mirror& operator=(const object_mirror&) = delete;

    /// Asks the store now. A call that is under way is given up: its answer is ignored.
    void resume();

    /// The objects by key, as of version().
    [[nodiscard]] const std::map<std::string, core::store_object>& objects() const
    {
        return objects_;
    }

    /// True once the objects were listed.
    [[nodiscard]] bool is_listed() const { return listed_; }

    /// Store version that the objects reflect.
    [[nodiscard]] std::uint64_t version() const { return version_; }

    /// The prefix, as a name in logs.
    [[nodiscard]] const std::string& prefix() const { return options_.prefix; }

private:
    void list();
    void watch();
    void watch_after_pause();
    void take_list(const core::store_list_result& answer);
    void take_events(const core::store_list_result& answer);

    object_mirror_options options_;
    std::map<std::string, core::store_object> objects_;
    std::uint64_t version_ = 0;
    bool listed_ = false;
    core::timer_id pause_timer_ = 0;
    /// Number of the call under way; answers to earlier ones are ignored. Expires with this object.
    std::shared_ptr<std::uint64_t> call_ = std::make_shared<std::uint64_t>(0);
};

} // namespace catkintally::entry
