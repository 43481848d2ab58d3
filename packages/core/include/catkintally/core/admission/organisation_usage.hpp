#pragma once

#include <catkintally/core/admission/decaying_sum.hpp>
#include <catkintally/core/table/table_snapshot.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace catkintally::core
{

/// Recent use of the services by each organisation. Tells which part of an organisation's requests
/// exceeds its share: its rate relative to its quota, compared with that of the other active
/// organisations.
class organisation_usage
{
public:
    /// Returns the requests per second of an organisation over all instances, nullopt if unknown.
    using fleet_rate = std::function<std::optional<double>(const std::string& organisation)>;

    /// `rate` may be empty. Then the rates at this instance are compared.
    explicit organisation_usage(fleet_rate rate = {})
        : fleet_rate_(std::move(rate))
    {
    }

    /// Applies the quotas of a table revision.
    void apply(const table_snapshot& table);

    void record_request(const std::string& organisation, time_point now);
    void record_decision(const std::string& organisation, bool granted, time_point now);

    /// Fraction of the organisation's requests that exceeds its share, 0 to 1.
    [[nodiscard]] double excess(const std::string& organisation, time_point now) const;

    /// Granted fraction of the organisation's recent requests; nullopt if there are too few.
    [[nodiscard]] std::optional<double>
    served_fraction(const std::string& organisation, time_point now) const;

    [[nodiscard]] std::size_t size() const { return usages_.size(); }

private:
    struct usage
    {
        usage();
        /// Requests per second granted by the quota; 0 if there is none.
        double quota = 0;
        decaying_sum recent;
        decaying_sum usual;
        decaying_sum decided;
        decaying_sum granted;
        time_point first_at{};
    };
    /// Rate and the rate to compare it with.
    struct comparison
    {
        double rate = 0;
        double reference = 0;
        bool fleet_wide = false;
    };

    [[nodiscard]] comparison
    compare(const std::string& organisation, const usage& used, time_point now) const;

    fleet_rate fleet_rate_;
    /// Only organisations of the table.
    std::map<std::string, usage> usages_;
};

} // namespace catkintally::core
