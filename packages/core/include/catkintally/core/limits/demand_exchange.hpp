#pragma once

#include <catkintally/core/limits/demand_directory.hpp>
#include <catkintally/core/limits/own_demand.hpp>
#include <catkintally/core/table/table_snapshot.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace catkintally::core
{

/// Fixed inputs of a demand_exchange.
struct demand_exchange_options
{
    /// Source of time; must outlive the object.
    timer_service* timers = nullptr;
    /// Name of this instance.
    std::string self;
    /// Differs between runs of this instance.
    std::uint64_t incarnation = 0;
    std::string failure_domain;
    /// Sends reports, own ones and received ones, to the neighbours; may be empty.
    std::function<void(const std::vector<demand_report>&)> send{};
    report_policy policy{};
    /// See demand_directory.
    duration retention = demand_directory::retention_time;
    /// Reports wait this long for others to be sent together.
    duration batch_interval = std::chrono::milliseconds(100);
    /// Hash of a service's name in the reports.
    std::function<std::uint64_t(std::string_view)> hash = name_hash;
};

/// Measures this instance's demand for each service, reports it to the other instances while that
/// is wanted, and collects and passes on their reports.
class demand_exchange
{
public:
    explicit demand_exchange(demand_exchange_options options);
    ~demand_exchange();
    demand_exchange(const demand_exchange&) = delete;
    demand_exchange& operator=(const demand_exchange&) = delete;

    /// Records a request of a caller for the service.
    void record_request(const std::string& service);

    /// Reports the demand for the service from now on.
    void start_reporting(const std::string& service);
    void stop_reporting(const std::string& service);

    /// As stop_reporting(), and tells the other instances that the demand is over.
    void withdraw(const std::string& service);

    [[nodiscard]] bool is_reporting(const std::string& service) const
    {
        return reported_services_.contains(service);
    }

    /// True if an earlier run of this instance had demand that the others still count on.
    [[nodiscard]] bool has_former(const std::string& service) const
    {
        return former_.contains(options_.hash(service));
    }

    /// Demand as measured here, in requests per second.
    [[nodiscard]] double measured(const std::string& service);

    /// Tells the other instances that this one will send no more requests.
    void leave();

    /// Records reports of other instances, and passes on those that are new.
    /// `on_new` is called for each of the latter and may be empty.
    void merge(
        const std::vector<demand_report>& reports,
        const std::function<void(const demand_report&)>& on_new = {});

    /// Own demand that the other instances know; see own_demand::settled().
    [[nodiscard]] std::optional<instance_demand> settled_demand(const std::string& service);

    /// Reported demands of all instances, this one included, for the service.
    [[nodiscard]] const std::vector<instance_demand>& demands(const std::string& service) const
    {
        return directory_.demands(options_.hash(service));
    }

    /// All reports, to be sent to an instance that starts.
    [[nodiscard]] std::vector<demand_report> reports() const;

    [[nodiscard]] std::size_t known_reports() const { return directory_.size(); }

    /// Number of instances with a report that was renewed within `age`.
    [[nodiscard]] std::size_t instances_newer_than(duration age) const;

    /// Forgets the demand for services that are not in the table.
    void retain(const table_snapshot& table);
    void retain(const std::function<bool(const std::string& service)>& is_listed);

private:
    [[nodiscard]] demand_report make_report(const std::string& service, double per_second);
    [[nodiscard]] own_demand& demand_of(const std::string& service);
    bool add_report(const demand_report& report);
    void resume(const demand_report& former);
    void schedule_batch();
    void start_ticking();
    void tick();
    void report_own_demand();
    void send_outgoing();

    demand_exchange_options options_;
    std::map<std::string, own_demand> demands_;
    std::set<std::string> reported_services_;
    demand_directory directory_;
    /// Reports to be sent to the neighbours at the next tick.
    std::vector<demand_report> outgoing_;
    std::uint32_t sequence_ = 0;
    /// Reports of an earlier run of this instance, by hash of the service.
    std::map<std::uint64_t, demand_report> former_;
    time_point expired_removed_at_{};
    timer_id tick_timer_ = 0;
    timer_id batch_timer_ = 0;
    bool leaving_ = false;
};

} // namespace catkintally::core
