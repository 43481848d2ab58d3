#pragma once

#include <catkintally/core/admission/baseline_mode.hpp>
#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/core/fleet/admission_gateway.hpp>
#include <catkintally/core/table/table_snapshot.hpp>

#include <map>

namespace catkintally::core
{

/// Fixed inputs of a local_gateway.
struct local_gateway_options
{
    baseline_mode mode = baseline_mode::least_in_flight;
    /// Clock; must outlive the gateway.
    timer_service* timers = nullptr;
    std::uint64_t seed = 0;
};

/// Load balancing with the local state of one instance only, without an owner, a queue or limits,
/// as conventional load balancers do. The baseline for measurements.
class local_gateway
{
public:
    explicit local_gateway(local_gateway_options options);

    /// Applies a table revision.
    void apply(table_snapshot table) { table_ = std::move(table); }

    /// Returns the callbacks for the HTTP path; they are valid for the lifetime of this object.
    [[nodiscard]] admission_gateway gateway();

    /// Requests of this instance in flight at a target.
    [[nodiscard]] std::uint32_t
    in_flight(const std::string& service, const std::string& target) const;

private:
    using target_key = std::pair<std::string, std::string>;

    [[nodiscard]] const target_row* choose(const admission_request& request);
    [[nodiscard]] double load(const std::string& service, const target_row& row) const;
    [[nodiscard]] bool may_send(request_id id) const;
    void ask(const admission_request& request, const std::function<void(admission_answer)>& answer);
    void release(request_id id);

    local_gateway_options options_;
    table_snapshot table_;
    std::map<request_id, target_key> grants_;
    std::map<target_key, std::uint32_t> counts_;
    /// Next round-robin position by service.
    std::map<std::string, std::size_t> next_positions_;
    split_mix random_;
};

} // namespace catkintally::core
