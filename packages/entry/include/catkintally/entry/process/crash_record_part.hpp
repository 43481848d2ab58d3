#pragma once

#include <catkintally/core/admission/crash_record_store.hpp>
#include <catkintally/core/admission/probing_gateway.hpp>
#include <catkintally/runtime/metrics/metrics_registry.hpp>

namespace catkintally::entry
{

/// Inputs of a crash_record_part. Pointers must outlive it.
struct crash_record_part_options
{
    core::object_store* store = nullptr;
    core::timer_service* timers = nullptr;
    core::probing_gateway* gateway = nullptr;
    /// Seed of the pauses between repeated writes.
    std::uint64_t seed = 1;
};

/// The records of crashing requests in a process: connects crash_record_store with the gateway, the
/// platform's objects and the log.
class crash_record_part
{
public:
    explicit crash_record_part(const crash_record_part_options& options);

    /// See crash_record_store.
    core::crash_record_store& records() { return records_; }

    /// For the hooks of probing_gateway_options.
    void save(std::uint64_t fingerprint, std::uint32_t crashes, std::function<void(bool)> done);
    void reserve(std::uint64_t fingerprint, std::uint32_t crashes, std::function<void(bool)> done);

    void add_metrics(runtime::metrics_registry& metrics);

private:
    core::crash_record_store records_;
};

} // namespace catkintally::entry
