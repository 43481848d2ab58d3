#pragma once

#include <catkintally/core/admission/crash_record.hpp>
#include <catkintally/core/store/object_store.hpp>
#include <catkintally/core/time/back_off.hpp>
#include <catkintally/core/time/timer_service.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkintally::core
{

/// Fixed inputs of a crash_record_store. All hooks are required.
struct crash_record_store_options
{
    /// Both must outlive the object.
    object_store* store = nullptr;
    timer_service* timers = nullptr;
    /// Key prefix of the records.
    std::string prefix{};
    /// Key of a request's record, and the request of a key; nothing if the key is not one.
    std::function<std::string(std::uint64_t fingerprint)> key_of{};
    std::function<std::optional<std::uint64_t>(const std::string& key)> fingerprint_of{};
    /// Value of a record, and the number of crashes of a value; nothing if it cannot be read.
    std::function<std::string(std::uint32_t crashes)> encode{};
    std::function<std::optional<std::uint32_t>(const std::string& value)> decode{};
    /// Called for each record that the store is found to hold. Returns false if a target has
    /// responded to the request since; the record is then removed.
    std::function<bool(std::uint64_t fingerprint, std::uint32_t crashes)> found{};
    /// Records that the store should hold.
    std::function<std::vector<crash_record>()> known{};
    /// Time from an answer of the store until the records are read. The configuration, which an
    /// instance needs first, is read in it.
    duration read_delay = std::chrono::milliseconds(300);
    back_off_options back_off{.first = std::chrono::seconds(1), .limit = std::chrono::seconds(60)};
    /// Maximum number of records in the store. Those that were changed first are removed.
    std::size_t capacity = 1024;
};

/// Keeps the records of requests that crash targets in the platform's store, so that they outlast a
/// restart of all instances. Writes that fail are repeated one at a time until the store takes
/// them.
class crash_record_store
{
public:
    using callback = std::function<void(bool)>;

    explicit crash_record_store(crash_record_store_options options);
    ~crash_record_store();
    crash_record_store(const crash_record_store&) = delete;
    crash_record_store& operator=(const crash_record_store&) = delete;

    /// Makes the store hold at least `crashes` for the request. `done` is called once with false if
    /// the store does not take it now.
    void save(std::uint64_t fingerprint, std::uint32_t crashes, callback done);

    /// Records one crash more than the store holds, at least `crashes` and at most `limit`. `done`
    /// is called once, with true at one instance of all that try it at the same time.
    void
    reserve(std::uint64_t fingerprint, std::uint32_t crashes, std::uint32_t limit, callback done);

    /// Removes the record of a request to which a target has responded.
    void remove(std::uint64_t fingerprint);

    /// Another instance removes the record of a request to which a target has responded.
    void forget(std::uint64_t fingerprint);

    /// This instance begins or ceases to read the store.
    void set_reading(bool reading);

    /// The store has answered a call. Reads the records if that has not been done since the start
    /// or the last outage.
    void on_store_answered();

    /// The store answers again after an outage.
    void on_store_returned();

    /// Number of changes that the store has not taken yet.
    [[nodiscard]] std::size_t pending() const;

private:
    /// What is known of a record in the store, and what is to be done with it.
    struct entry
    {
        /// Version and content at the last call; 0 if there is none or it is not known.
        std::uint64_t version = 0;
        std::uint32_t crashes = 0;
        /// Number of crashes that the store should hold.
        std::uint32_t wanted = 0;
        bool to_remove = false;
        /// A call is in progress.
        bool busy = false;

        [[nodiscard]] bool is_pending() const { return to_remove || wanted > crashes; }
    };
    enum class write_outcome : std::uint8_t
    {
        written,
        /// The store holds at least as many crashes.
        not_needed,
        failed
    };
    using write_callback = std::function<void(write_outcome)>;

    entry& add(std::uint64_t fingerprint);
    void write(
        std::uint64_t fingerprint,
        std::uint32_t crashes,
        std::size_t attempts,
        write_callback done);
    void on_written(
        std::uint64_t fingerprint,
        std::uint32_t crashes,
        std::size_t attempts,
        const store_result& result,
        const write_callback& done);
    void end_write(std::uint64_t fingerprint, write_outcome outcome, const write_callback& done);
    void remove_now(std::uint64_t fingerprint, std::size_t attempts, const callback& done);
    void end_removal(std::uint64_t fingerprint, bool removed, const callback& done);
    void note_content(std::uint64_t fingerprint, std::uint64_t version, const std::string& value);
    /// Reads the records if that is due and this instance reads the store.
    void read_if_due();
    void on_list(const store_list_result& answer);
    void remove_surplus(const std::vector<store_object>& objects);
    void retry_later();
    /// Repeats one change that has failed, and the next one once the store has taken it.
    void retry();

    crash_record_store_options options_;
    back_off back_off_;
    std::map<std::uint64_t, entry> entries_;
    bool reading_ = false;
    bool synchronised_ = false;
    bool listing_ = false;
    timer_id read_timer_ = 0;
    timer_id retry_timer_ = 0;
    /// Expires with this object; late answers check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace catkintally::core
