#include <catkintally/runtime/metrics/metrics_registry.hpp>

#include <array>
#include <sstream>

namespace catkintally::runtime
{

namespace
{

std::string label_text(const metric_labels& labels)
{
    std::string out;
    for (const auto& [name, value] : labels)
    {
        out.append(out.empty() ? "" : ",").append(name).append("=\"");
        for (const char c : value)
        {
            if (c == '\n')
            {
                out += "\\n";
                continue;
            }
            if (c == '"' || c == '\\')
            {
                out += '\\';
            }
            out += c;
        }
        out += '"';
    }
    return out;
}

std::string braced(const std::string& labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

void print_latency(
    std::ostream& out,
    const std::string& name,
    const std::string& labels,
    const latency_summary& summary)
{
    constexpr std::array<std::pair<double, const char*>, 4> reported = {
        {{0.5, "0.5"}, {0.9, "0.9"}, {0.99, "0.99"}, {0.999, "0.999"}}};
    for (const auto& [probability, text] : reported)
    {
        if (const auto value = summary.quantile(probability))
        {
            out << name << '{' << labels << (labels.empty() ? "" : ",") << "quantile=\"" << text
                << "\"} " << *value << '\n';
        }
    }
    out << name << "_sum" << braced(labels) << ' ' << summary.sum() << '\n';
    out << name << "_count" << braced(labels) << ' ' << summary.count() << '\n';
}

} // namespace

metrics_registry::series&
metrics_registry::find(const std::string& name, const metric_labels& labels)
{
    return families_[name][label_text(labels)];
}

metric_counter& metrics_registry::counter(const std::string& name, const metric_labels& labels)
{
    auto& found = find(name, labels).counter;
    if (!found)
    {
        found = std::make_unique<metric_counter>();
    }
    return *found;
}

latency_summary& metrics_registry::latency(const std::string& name, const metric_labels& labels)
{
    auto& found = find(name, labels).latency;
    if (!found)
    {
        found = std::make_unique<latency_summary>();
    }
    return *found;
}

void metrics_registry::gauge(
    const std::string& name, const metric_labels& labels, std::function<double()> read)
{
    find(name, labels).gauge = std::move(read);
}

std::string metrics_registry::exposition() const
{
    std::ostringstream out;
    out.precision(9);
    for (const auto& [name, members] : families_)
    {
        const series& first = members.begin()->second;
        out << "# TYPE " << name
            << (first.counter   ? " counter\n"
                : first.latency ? " summary\n"
                                : " gauge\n");
        for (const auto& [labels, member] : members)
        {
            if (member.counter)
            {
                out << name << braced(labels) << ' ' << member.counter->value() << '\n';
            }
            else if (member.latency)
            {
                print_latency(out, name, labels, *member.latency);
            }
            else
            {
                out << name << braced(labels) << ' ' << member.gauge() << '\n';
            }
        }
    }
    return out.str();
}

} // namespace catkintally::runtime
