#include <catch2/catch.hpp>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

// Guards against frames that the fuzz runs have found, in builds without a fuzzer. A fault ends the
// process.
TEST_CASE("every frame of the fuzz corpus is read")
{
    std::size_t files = 0;
    for (const auto& each : std::filesystem::directory_iterator(CATKINTALLY_CORPUS))
    {
        std::ifstream in(each.path(), std::ios::binary);
        const std::string text(std::istreambuf_iterator<char>(in), {});
        INFO(each.path());
        CHECK(
            LLVMFuzzerTestOneInput(
                reinterpret_cast<const std::uint8_t*>(text.data()), text.size()) == 0);
        ++files;
    }
    CHECK(files > 10);
}
