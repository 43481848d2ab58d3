#include <catkintally/entry/http/body_budget.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace catkintally::entry;

namespace
{

constexpr std::uint64_t kilobyte = 1'024;
constexpr std::uint64_t megabyte = 1'024 * kilobyte;

struct budget_row
{
    std::string name;
    /// Bytes that other bodies hold.
    std::vector<std::uint64_t> others;
    std::uint64_t held;
    std::uint64_t more;
    bool fits;
};

} // namespace

// Guards against a few large bodies that leave no memory for ordinary requests, and against more
// memory than the budget allows.
TEST_CASE("large bodies leave room for small ones")
{
    const auto row = GENERATE(values<budget_row>({
        {"first body", {}, 0, 1 * megabyte, true},
        {"largest single body", {}, 0, 2 * megabyte, true},
        {"beyond the largest single body", {}, 0, 2 * megabyte + 1, false},
        {"growing beyond it", {}, 1 * megabyte, 1 * megabyte + 1, false},
        {"a size that overflows", {}, megabyte, ~std::uint64_t{0}, false},
        {"large body beside large ones",
         {2 * megabyte, 2 * megabyte, 2 * megabyte},
         0,
         100 * kilobyte,
         false},
        {"small body beside large ones",
         {2 * megabyte, 2 * megabyte, 2 * megabyte},
         0,
         64 * kilobyte,
         true},
        {"small body that grows large",
         {2 * megabyte, 2 * megabyte, 2 * megabyte},
         60 * kilobyte,
         10 * kilobyte,
         false},
    }));
    INFO(row.name);
    body_budget budget(8 * megabyte);
    for (const std::uint64_t other : row.others)
    {
        REQUIRE(budget.reserve(0, other));
    }
    REQUIRE((row.held == 0 || budget.reserve(0, row.held)));
    const std::uint64_t before = budget.used();
    CHECK(budget.reserve(row.held, row.more) == row.fits);
    CHECK(budget.used() == before + (row.fits ? row.more : 0));
    CHECK(budget.refused() == (row.fits ? 0 : 1));
}

// Guards against small bodies without a bound, and against memory that is never free again.
TEST_CASE("small bodies stay within the budget and give their memory back")
{
    const auto budget = std::make_shared<body_budget>(1 * megabyte);
    std::vector<shared_body> held;
    std::vector<shared_body> copies;
    bool full = false;
    while (!full && held.size() < 100)
    {
        body_reservation reservation(budget);
        full = !reservation.grow_to(64 * kilobyte);
        if (!full)
        {
            held.push_back(hold_body("text", std::move(reservation)));
        }
    }
    CHECK(held.size() == 16);
    CHECK(budget->used() == megabyte);
    copies.push_back(held.front());
    held.clear();
    CHECK(budget->used() == 64 * kilobyte);
    copies.clear();
    CHECK(budget->used() == 0);
}
