#include <catkintally/entry/process/target_prober.hpp>

#include <cassert>
#include <utility>

namespace catkintally::entry
{

namespace
{

/// A probe takes about 6 ms; a target that needs longer than this is not fit for work.
constexpr auto probe_deadline = std::chrono::milliseconds(500);

/// Answers to probes say all in their head.
constexpr std::size_t probe_answer_bytes = 16'384;

} // namespace

target_prober::target_prober(target_prober_options options)
    : options_(std::move(options))
{
    assert(options_.timers != nullptr && options_.pool && options_.dialect != nullptr);
}

target_prober::~target_prober()
{
    for (const auto& [id, pending] : pending_)
    {
        options_.timers->cancel(pending.timer);
    }
}

void target_prober::probe(
    const core::service_row& service, const core::target_row& target, report_hook done)
{
    const std::uint64_t id = ++sent_;
    pending_probe& pending = pending_[id];
    pending.done = std::move(done);
    pending.sent_at = options_.timers->now();
    pending.timer = options_.timers->schedule_after(
        probe_deadline,
        [this, id]
        {
            options_.pool().abandon(pending_.at(id).dispatch);
            finish(id, {});
        });
    target_request request;
    request.method = "GET";
    request.uri = service.health_path;
    request.fields = {{"Host", target.address}};
    // Without an id of its own, the check must not take the answer to an earlier request: the true
    // answer to the check would then pass for the answer to the next request.
    request.expected_echo =
        echoed_header{.header = options_.dialect->request_id_header, .value = {}};
    request.answer_bytes = probe_answer_bytes;
    request.may_send = [] { return true; };
    pending.dispatch = options_.pool().dispatch(
        target.address, std::move(request),
        [this, id](const dispatch_end& end) { finish(id, end); });
}

void target_prober::try_connect(const core::target_row& target, std::function<void(bool)> ended)
{
    target_request request;
    request.method = "GET";
    request.new_connection = true;
    // Asked when the connection stands; holding the request back closes it again.
    request.may_send = [] { return false; };
    options_.pool().dispatch(
        target.address, std::move(request),
        [ended = std::move(ended)](const dispatch_end& end)
        {
            // Without a free connection of its own, this instance learns nothing of the target.
            ended(end.result != dispatch_result::not_sent || end.detail == connection_limit_detail);
        });
}

core::probe_report target_prober::read(const dispatch_end& end) const
{
    core::probe_report report;
    if (end.result != dispatch_result::answered)
    {
        return report;
    }
    const core::header_list& fields = end.answer->headers;
    const core::target_dialect& dialect = *options_.dialect;
    report.answered = true;
    report.status = end.answer->status;
    report.healthy = end.answer->status == 200;
    if (dialect.load)
    {
        report.load = dialect.load(fields);
    }
    if (dialect.warmup_remaining)
    {
        report.warmup_remaining = dialect.warmup_remaining(fields);
    }
    if (dialect.limit)
    {
        report.limit = dialect.limit(*end.answer);
    }
    report.leaving = dialect.leaving && dialect.leaving(*end.answer);
    report.pause = dialect.pause ? dialect.pause(*end.answer) : std::nullopt;
    const std::string* name = dialect.target_name_header.empty()
                                  ? nullptr
                                  : find_field(fields, dialect.target_name_header);
    report.name = name == nullptr ? "" : *name;
    return report;
}

void target_prober::finish(std::uint64_t id, const dispatch_end& end)
{
    const auto ended = pending_.extract(id);
    if (ended.empty())
    {
        return;
    }
    options_.timers->cancel(ended.mapped().timer);
    core::probe_report report = read(end);
    report.took = options_.timers->now() - ended.mapped().sent_at;
    ended.mapped().done(std::move(report));
}

} // namespace catkintally::entry
