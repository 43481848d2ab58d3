#include <catkintally/stand_ins/load/load_summary.hpp>

#include <algorithm>
#include <cmath>

namespace catkintally::stand_ins
{

namespace
{

constexpr std::array<const char*, 2> class_names = {"lookup", "order"};

double to_milliseconds(core::duration time)
{
    return static_cast<double>(time.count()) / 1000.0;
}

} // namespace

core::duration quantile(std::vector<core::duration> samples, double probability)
{
    if (samples.empty())
    {
        return core::duration::zero();
    }
    const double wanted = std::ceil(probability * static_cast<double>(samples.size()));
    const auto rank = static_cast<std::size_t>(std::max(wanted, 1.0)) - 1;
    std::nth_element(
        samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(rank), samples.end());
    return samples[rank];
}

load_summary::load_summary(std::vector<core::duration> marks)
    : marks_(std::move(marks))
{
    for (auto& phases : latencies_)
    {
        phases.resize(marks_.size() + 1);
    }
}

std::size_t load_summary::phase_of(core::duration time) const
{
    return static_cast<std::size_t>(
        std::upper_bound(marks_.begin(), marks_.end(), time) - marks_.begin());
}

void load_summary::note_sent(bool order)
{
    ++sent_[order ? 1 : 0];
}

void load_summary::note_attempt(call_result result, bool own_answer)
{
    ++attempts_[static_cast<std::size_t>(result)];
    if (!own_answer)
    {
        ++wrong_answers_;
    }
}

void load_summary::note_final(
    bool order,
    const std::string& key,
    call_result result,
    unsigned attempts,
    core::duration sent,
    core::duration ended)
{
    ++final_[order ? 1 : 0][static_cast<std::size_t>(result)];
    if (order)
    {
        orders_[key] = {.result = result, .attempts = attempts, .sent = sent, .ended = ended};
    }
    if (result == call_result::answered || result == call_result::already_run)
    {
        latencies_[order ? 1 : 0][phase_of(sent)].push_back(ended - sent);
        longest_gap_ = std::max(longest_gap_, ended - last_answer_);
        last_answer_ = ended;
    }
}

boost::json::object load_summary::to_json() const
{
    boost::json::object totals{{"sent", sent_[0] + sent_[1]}, {"wrong_answers", wrong_answers_}};
    boost::json::object attempts;
    for (std::size_t index = 0; index < call_result_count; ++index)
    {
        const auto name = to_string(static_cast<call_result>(index));
        totals[name] = final_[0][index] + final_[1][index];
        attempts[name] = attempts_[index];
    }

    boost::json::object classes;
    for (std::size_t kind = 0; kind < class_names.size(); ++kind)
    {
        boost::json::object one{{"sent", sent_[kind]}};
        for (std::size_t index = 0; index < call_result_count; ++index)
        {
            one[to_string(static_cast<call_result>(index))] = final_[kind][index];
        }
        boost::json::array phases;
        for (const auto& samples : latencies_[kind])
        {
            phases.push_back(
                {{"answered", samples.size()},
                 {"p50_ms", to_milliseconds(quantile(samples, 0.5))},
                 {"p99_ms", to_milliseconds(quantile(samples, 0.99))},
                 {"p999_ms", to_milliseconds(quantile(samples, 0.999))}});
        }
        one["phases"] = std::move(phases);
        classes[class_names[kind]] = std::move(one);
    }

    boost::json::object orders;
    for (const auto& [key, entry] : orders_)
    {
        orders[key] = {
            {"outcome", to_string(entry.result)},
            {"attempts", entry.attempts},
            {"sent_ms", to_milliseconds(entry.sent)},
            {"ended_ms", to_milliseconds(entry.ended)}};
    }
    return {
        {"totals", std::move(totals)},
        {"attempts", std::move(attempts)},
        {"classes", std::move(classes)},
        {"longest_gap_ms", to_milliseconds(longest_gap_)},
        {"orders", std::move(orders)}};
}

} // namespace catkintally::stand_ins
