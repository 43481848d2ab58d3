#include <catkintally/runtime/metrics/metrics_registry.hpp>

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

std::string with(const std::string& labels, const std::string& name, const std::string& value)
{
    return '{' + labels + (labels.empty() ? "" : ",") + name + "=\"" + value + "\"}";
}

std::string number_text(double number)
{
    std::ostringstream out;
    out << number;
    return out.str();
}

void print_buckets(
    std::ostream& out,
    const std::string& name,
    const std::string& labels,
    const latency_histogram& latency)
{
    for (std::size_t bucket = 0; bucket < latency_histogram::bucket_bounds.size(); ++bucket)
    {
        out << name << "_bucket"
            << with(labels, "le", number_text(latency_histogram::bucket_bounds[bucket])) << ' '
            << latency.count_up_to(bucket) << '\n';
    }
    out << name << "_bucket" << with(labels, "le", "+Inf") << ' ' << latency.count() << '\n';
    out << name << "_sum" << braced(labels) << ' ' << latency.sum() << '\n';
    out << name << "_count" << braced(labels) << ' ' << latency.count() << '\n';
}

void print_quantiles(
    std::ostream& out,
    const std::string& name,
    const std::string& labels,
    const latency_histogram& latency)
{
    for (const double probability : {0.5, 0.9, 0.99, 0.999})
    {
        if (const auto value = latency.quantile(probability))
        {
            out << name << "_quantile" << with(labels, "quantile", number_text(probability)) << ' '
                << *value << '\n';
        }
    }
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

latency_histogram& metrics_registry::latency(const std::string& name, const metric_labels& labels)
{
    auto& found = find(name, labels).latency;
    if (!found)
    {
        found = std::make_unique<latency_histogram>();
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
                : first.latency ? " histogram\n"
                                : " gauge\n");
        for (const auto& [labels, member] : members)
        {
            if (member.counter)
            {
                out << name << braced(labels) << ' ' << member.counter->value() << '\n';
            }
            else if (member.latency)
            {
                print_buckets(out, name, labels, *member.latency);
            }
            else
            {
                out << name << braced(labels) << ' ' << member.gauge() << '\n';
            }
        }
        if (!first.latency)
        {
            continue;
        }
        // Quantiles of the newest samples are a family of their own in this format.
        out << "# TYPE " << name << "_quantile gauge\n";
        for (const auto& [labels, member] : members)
        {
            print_quantiles(out, name, labels, *member.latency);
        }
    }
    return out.str();
}

} // namespace catkintally::runtime
