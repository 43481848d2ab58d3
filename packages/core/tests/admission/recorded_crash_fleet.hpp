#pragma once

#include <catkintally/core/admission/crash_record_store.hpp>
#include <catkintally/core/admission/probing_gateway.hpp>
#include <catkintally/core/time/manual_timer_service.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace catkintally::core
{

/// Store of records in virtual time: conditional writes, and lists in the order of the keys.
class record_objects final : public object_store
{
public:
    explicit record_objects(timer_service& timers)
        : timers_(timers)
    {
    }

    void get(const std::string& key, result_callback done) override
    {
        answer(done, [this, key] { return state_of(key, store_status::ok); });
    }
    void list(const std::string&, list_callback done) override;
    void
    put(const std::string& key,
        const std::string& value,
        std::uint64_t if_version,
        result_callback done) override;
    void remove(const std::string& key, std::uint64_t if_version, result_callback done) override;
    void watch(const std::string&, std::uint64_t, list_callback) override {}

    /// All writes are answered with 503.
    bool refuses_writes = false;
    /// All calls are answered with 503.
    bool down = false;
    std::size_t calls = 0;
    std::map<std::string, store_object> objects;

private:
    /// The object, or not_found.
    [[nodiscard]] store_result state_of(const std::string& key, store_status status) const;
    void answer(const result_callback& done, std::function<store_result()> make);

    timer_service& timers_;
    std::uint64_t version_ = 100;
};

/// Instances with real gateways that handle requests which crash each target, tell each other of
/// crashes, and keep records in one store. All of them can be restarted at once.
class recorded_crash_fleet
{
public:
    explicit recorded_crash_fleet(std::size_t size);

    /// Sends a request through an instance and advances the time until it has ended.
    void send(std::size_t through, std::uint64_t fingerprint = 7);
    /// Sends a request through one instance after the other, with this pause after each.
    void send_often(int times, duration pause = std::chrono::seconds(2));
    /// Replaces the process of one instance, or of all, by one that knows nothing.
    void restart(std::size_t number);
    void restart_all();
    void set_down(bool down);

    /// Attempts that reached a target later than `contact` after the third crash.
    [[nodiscard]] std::size_t late() const;
    [[nodiscard]] std::size_t pending() const;
    /// Instances that refuse the request.
    [[nodiscard]] std::size_t refusing(std::uint64_t fingerprint = 7) const;

    static constexpr duration contact = std::chrono::seconds(3);

    manual_timer_service timers;
    record_objects store{timers};
    /// Targets answer the request.
    bool repaired = false;
    std::vector<time_point> attempts;
    std::vector<time_point> crashes;
    /// Instance that saw the latest crash.
    std::size_t last_observer = 0;

private:
    struct instance
    {
        std::unique_ptr<probing_gateway> gateway;
        std::unique_ptr<crash_record_store> records;
    };
    /// Instances that read the store.
    static constexpr std::size_t readers = 2;

    [[nodiscard]] std::unique_ptr<instance> make(std::size_t number);
    [[nodiscard]] probing_gateway_options options(std::size_t number, instance& made);
    /// Calls `receive` for each other instance, after the delay of a message.
    void tell(std::size_t from, std::function<void(instance&)> receive);
    void run(std::size_t through, request_id id, const std::string& target);

    std::vector<std::unique_ptr<instance>> instances_;
    std::set<std::string> crashed_targets_;
    std::shared_ptr<const table_snapshot> table_;
    request_id last_id_ = 0;
    std::uint64_t starts_ = 0;
};

} // namespace catkintally::core
