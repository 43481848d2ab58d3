#include <catkintally/entry/http/organisation_metrics.hpp>

namespace catkintally::entry
{

namespace
{

/// Organisations with a series of their own. Those seen later, also after others were removed from
/// the table, share one, so that neither the memory nor the page of metrics grows with the changes
/// of a table.
constexpr std::size_t max_series = 200;

} // namespace

organisation_metrics::organisation_metrics(runtime::metrics_registry& metrics)
    : metrics_(metrics)
{
}

void organisation_metrics::add_refused(std::string_view reason)
{
    metrics_.counter("catkintally_keys_refused_total", {{"reason", std::string(reason)}}).add();
}

void organisation_metrics::add_request(const std::string& organisation)
{
    constexpr const char* name = "catkintally_organisation_requests_total";
    const auto found = requests_.find(organisation);
    if (found != requests_.end())
    {
        found->second->add();
        return;
    }
    if (requests_.size() >= max_series)
    {
        metrics_.counter(name, {{"other", "yes"}}).add();
        return;
    }
    auto& counter = metrics_.counter(name, {{"organisation", organisation}});
    requests_.emplace(organisation, &counter);
    counter.add();
}

} // namespace catkintally::entry
