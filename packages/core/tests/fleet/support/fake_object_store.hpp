#pragma once

#include <catkintally/core/store/object_store.hpp>
#include <catkintally/core/time/manual_timer_service.hpp>

#include <map>
#include <string>

namespace catkintally::core::test
{

/// Contents and faults of the platform's store, shared by all nodes of a test.
struct fake_store_state
{
    struct object
    {
        std::uint64_t version = 0;
        std::string value;
    };

    std::map<std::string, object> objects;
    std::uint64_t version = 0;
    bool outage = false;
    /// Number of following writes whose answer is lost after they took effect.
    int lose_answers = 0;
    std::uint64_t writes = 0;
};

/// One node's connection to the shared store. Answers arrive after 2 ms on the node's own timers.
class fake_object_store final : public object_store
{
public:
    fake_object_store(fake_store_state& state, timer_service& timers)
        : state_(state)
        , timers_(timers)
    {
    }

    /// True while this node cannot reach the store.
    bool cut = false;

    void get(const std::string& key, result_callback done) override
    {
        if (down())
        {
            answer(
                std::move(done), {.status = store_status::unavailable, .version = 0, .value = {}});
            return;
        }
        const auto found = state_.objects.find(key);
        answer(
            std::move(done),
            found == state_.objects.end()
                ? store_result{.status = store_status::not_found, .version = 0, .value = {}}
                : store_result{
                      .status = store_status::ok,
                      .version = found->second.version,
                      .value = found->second.value});
    }

    void
    put(const std::string& key,
        const std::string& value,
        std::uint64_t if_version,
        result_callback done) override
    {
        if (down())
        {
            answer(
                std::move(done), {.status = store_status::unavailable, .version = 0, .value = {}});
            return;
        }
        auto& object = state_.objects[key];
        if (object.version != if_version)
        {
            answer(
                std::move(done),
                {.status = store_status::conflict, .version = object.version, .value = {}});
            return;
        }
        object = {.version = ++state_.version, .value = value};
        ++state_.writes;
        if (state_.lose_answers > 0)
        {
            --state_.lose_answers;
            answer(std::move(done), {.status = store_status::unknown, .version = 0, .value = {}});
            return;
        }
        answer(
            std::move(done), {.status = store_status::ok, .version = object.version, .value = {}});
    }

    void list(const std::string&, list_callback) override {}
    void remove(const std::string&, std::uint64_t, result_callback) override {}
    void watch(const std::string&, std::uint64_t, list_callback) override {}

private:
    [[nodiscard]] bool down() const { return cut || state_.outage; }

    void answer(result_callback done, store_result result)
    {
        timers_.schedule_after(
            std::chrono::milliseconds(2),
            [done = std::move(done), result = std::move(result)] { done(result); });
    }

    fake_store_state& state_;
    timer_service& timers_;
};

} // namespace catkintally::core::test
