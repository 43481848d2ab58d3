#include <catkintally/stand_ins/load/load_driver.hpp>

#include <cmath>
#include <utility>

namespace catkintally::stand_ins
{

load_driver::load_driver(
    runtime::event_loop& loop, core::timer_service& timers, load_options options)
    : timers_(timers)
    , options_(std::move(options))
    , client_(loop, timers, {.max_idle_connections = 16})
    , summary_(options_.marks)
    , random_(options_.seed)
{
}

void load_driver::start(std::function<void()> done)
{
    done_ = std::move(done);
    started_ = timers_.now();
    streams_ = 2;
    schedule_next(false);
    schedule_next(true);
}

void load_driver::schedule_next(bool order)
{
    const double rate = order ? options_.orders_per_s : options_.lookups_per_s;
    core::duration& next = next_start_[order ? 1 : 0];
    if (rate > 0)
    {
        // Exponential gaps; 53 random bits give the same value with every standard library.
        const double uniform = static_cast<double>(random_() >> 11) * 0x1.0p-53;
        next += core::duration(static_cast<std::int64_t>(-std::log1p(-uniform) / rate * 1e6));
    }
    if (rate <= 0 || next >= options_.length)
    {
        if (--streams_ == 0 && callers_.empty())
        {
            timers_.schedule_after(core::duration::zero(), done_);
        }
        return;
    }
    timers_.schedule_after(
        next - elapsed(),
        [this, order]
        {
            begin(order);
            schedule_next(order);
        });
}

void load_driver::begin(bool order)
{
    const std::uint64_t id = next_id_++;
    caller& added = callers_[id];
    added.order = order;
    added.key = options_.key_prefix + std::to_string(id);
    added.instance = random_() % options_.instances.size();
    added.sent = next_start_[order ? 1 : 0];
    summary_.note_sent(order);
    send(id);
}

void load_driver::send(std::uint64_t id)
{
    caller& sender = callers_.at(id);
    ++sender.attempts;
    const auto limit =
        std::chrono::duration_cast<std::chrono::milliseconds>(options_.attempt_time).count();
    runtime::http_request request{
        .address = options_.instances[sender.instance],
        .method = sender.order ? runtime::http_method::post : runtime::http_method::get,
        .target = (sender.order ? options_.order_path : options_.lookup_path) + '/' + sender.key,
        .headers =
            {{"Host", sender.order ? options_.order_host : options_.lookup_host},
             {"catkintally-deadline-ms", std::to_string(limit)}},
        .deadline = options_.attempt_time,
        .idempotent = !sender.order};
    if (sender.order)
    {
        request.headers.emplace_back(options_.key_header, sender.key);
        request.body = "{\"order\":\"" + sender.key + "\"}";
    }
    client_.call(
        std::move(request),
        [this, id](const runtime::http_response& response) { on_response(id, response); });
}

void load_driver::on_response(std::uint64_t id, const runtime::http_response& response)
{
    caller& sender = callers_.at(id);
    const call_result result = classify(response);
    // A target's successful answer repeats the path, so an answer to another request is noticed.
    const bool own_answer = result != call_result::answered || response.status != 200 ||
                            response.body.find('/' + sender.key + '"') != std::string::npos;
    summary_.note_attempt(result, own_answer);
    if (!sender.order || is_final(result) || elapsed() - sender.sent >= options_.give_up_after)
    {
        end(id, result);
        return;
    }
    sender.instance = (sender.instance + 1) % options_.instances.size();
    timers_.schedule_after(options_.pause_between_attempts, [this, id] { send(id); });
}

void load_driver::end(std::uint64_t id, call_result result)
{
    const caller ended = std::move(callers_.extract(id).mapped());
    summary_.note_final(ended.order, ended.key, result, ended.attempts, ended.sent, elapsed());
    if (streams_ == 0 && callers_.empty())
    {
        timers_.schedule_after(core::duration::zero(), done_);
    }
}

} // namespace catkintally::stand_ins
