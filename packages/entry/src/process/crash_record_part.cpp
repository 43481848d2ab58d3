#include <catkintally/entry/process/crash_record_part.hpp>
#include <catkintally/platform/objects/crash_record_objects.hpp>
#include <catkintally/runtime/log/event_log.hpp>

#include <utility>

namespace catkintally::entry
{

namespace
{

core::crash_record_store_options store_options(const crash_record_part_options& options)
{
    core::crash_record_store_options out;
    out.store = options.store;
    out.timers = options.timers;
    out.prefix = platform::crash_record_prefix;
    out.key_of = platform::crash_record_key;
    out.fingerprint_of = [](const std::string& key)
    { return platform::crash_record_fingerprint(key); };
    out.encode = platform::encode_crash_record;
    out.decode = [](const std::string& value) { return platform::decode_crash_record(value); };
    out.found = [gateway = options.gateway](std::uint64_t fingerprint, std::uint32_t crashes)
    { return gateway->restore_crash_record(fingerprint, crashes); };
    out.known = [gateway = options.gateway] { return gateway->crash_records(); };
    out.back_off.seed = options.seed;
    return out;
}

/// Returns a callback that logs the outcome of a write and passes it on.
std::function<void(bool)>
logged(std::uint64_t fingerprint, std::uint32_t crashes, std::function<void(bool)> done)
{
    return [fingerprint, crashes, done = std::move(done)](bool saved)
    {
        runtime::log_event(
            runtime::event_id::crashing_request_recorded,
            {{"object", platform::crash_record_key(fingerprint)},
             {"fingerprint", std::to_string(fingerprint)},
             {"crashes", std::to_string(crashes)},
             {"saved", saved ? "yes" : "no"}});
        done(saved);
    };
}

} // namespace

crash_record_part::crash_record_part(const crash_record_part_options& options)
    : records_(store_options(options))
{
}

void crash_record_part::save(
    std::uint64_t fingerprint, std::uint32_t crashes, std::function<void(bool)> done)
{
    records_.save(fingerprint, crashes, logged(fingerprint, crashes, std::move(done)));
}

void crash_record_part::reserve(
    std::uint64_t fingerprint, std::uint32_t crashes, std::function<void(bool)> done)
{
    records_.reserve(
        fingerprint, crashes, core::crash_records::max_crashes,
        logged(fingerprint, crashes, std::move(done)));
}

void crash_record_part::add_metrics(runtime::metrics_registry& metrics)
{
    metrics.gauge(
        "catkintally_crash_records_unsaved", {},
        [this] { return static_cast<double>(records_.pending()); });
}

} // namespace catkintally::entry
