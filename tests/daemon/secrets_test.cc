#include "pistachio/process/daemon/secrets.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>

namespace pistachio {
namespace {

TEST_CASE("a bearer token is found with its subtree", "[secrets]") {
  const std::vector<OperatorToken> tokens = {{"alpha", "*"}, {"beta", "guild"}};
  REQUIRE(SubtreeOfBearer(tokens, "Bearer beta") == "guild");
  for (const char* bad :
       {"", "Bearer ", "Bearer bet", "Bearer beta ", "bearer beta", "Basic beta"}) {
    REQUIRE_FALSE(SubtreeOfBearer(tokens, bad));
  }
}

TEST_CASE("a token file with a word too many or too few is refused", "[secrets]") {
  const std::string file = "secrets_test_tokens.txt";
  for (const char* text : {"only-a-token\n", "token subtree more\n"}) {
    std::ofstream(file) << text;
    REQUIRE_FALSE(ReadTokenFile(file));
  }
  std::ofstream(file) << "token guild\n\nother *\n";
  REQUIRE(ReadTokenFile(file)->size() == 2);
  std::remove(file.c_str());
  REQUIRE_FALSE(ReadTokenFile(file));
}

}  // namespace
}  // namespace pistachio
