#include <catkintally/entry/news/quota_messages.hpp>
#include <catkintally/wire/codec/frame_codec.hpp>

#include <catch2/catch.hpp>

#include <memory>

using namespace catkintally;
using namespace catkintally::entry;
using namespace std::chrono_literals;

// Guards against demand that arrives changed, and against messages of one entry each.
TEST_CASE("demand for quotas arrives as it was sent, in few bytes")
{
    std::vector<core::demand_report> sent;
    const double rates[] = {0, 0.004, 0.07, 1, 13, 422, 100'000, -1};
    for (std::uint32_t index = 0; index < 13; ++index)
    {
        sent.push_back(
            {.instance = 7,
             .incarnation = 8,
             .service = 0xdead'0000U + index,
             .sequence = 40 + index,
             .per_second = rates[index % std::size(rates)],
             .age = 1500ms});
    }
    sent.push_back({.instance = 9, .incarnation = 1, .service = 3, .sequence = 5, .per_second = 2});
    const auto messages = to_quota_messages(sent);
    REQUIRE(messages.size() == 1);
    const auto& notice = *messages.front().Asquota_notice();
    CHECK(notice.reports.size() == 2);
    const auto received = to_reports(notice);
    REQUIRE(received.size() == sent.size());
    for (std::size_t index = 0; index < sent.size(); ++index)
    {
        CHECK(received[index].instance == sent[index].instance);
        CHECK(received[index].incarnation == sent[index].incarnation);
        CHECK(received[index].service == sent[index].service);
        CHECK(received[index].sequence == sent[index].sequence);
        CHECK(received[index].age == sent[index].age);
        CHECK(
            received[index].per_second ==
            Approx(sent[index].per_second).epsilon(0.001).margin(1e-5));
    }
    sent.pop_back();
    const auto frame = wire::encode_frame(to_quota_messages(sent).front());
    REQUIRE(frame);
    CHECK(frame->size() <= 200);
    const auto token = wire::encode_frame(to_message(
        core::token_message{.organisation = 1, .id = 2, .holder = 3, .hops = 4, .tokens = 5}));
    REQUIRE(token);
    CHECK(token->size() <= 100);
    UNSCOPED_INFO("13 entries " << frame->size() << " bytes, token " << token->size());
    CHECK_FALSE(frame->empty());
}
