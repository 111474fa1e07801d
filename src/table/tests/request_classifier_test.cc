// Guards against a filing that is taken for repeatable and against long work in short slots.
#include "table/request_classifier.h"

#include <catch2/catch.hpp>

#include "table/tests/table_samples.h"

namespace mangonotch::table {

TEST_CASE("Services are found by their whole name") {
  const RequestClassifier classifier(Sample());
  REQUIRE(classifier.FindService("filing")->value == 0);
  REQUIRE(classifier.FindService("archive")->value == 1);
  REQUIRE_FALSE(classifier.FindService("archiv"));
  REQUIRE_FALSE(classifier.FindService("zzz"));
  REQUIRE_FALSE(classifier.FindService(""));
}

TEST_CASE("The longest prefix at a segment's border decides") {
  const RequestClassifier classifier(Sample());
  const RequestProfile long_get{base::WorkClass::kLong, true, 60'000};
  const RequestProfile short_get{base::WorkClass::kShort, true, 10'000};
  const base::ServiceIndex archive{1};
  for (const char* path :
       {"/browse", "/browse/", "/browse/1900", "/browse?page=2", "/browse/orders"}) {
    CAPTURE(path);
    REQUIRE(classifier.Classify(archive, "GET", path) == long_get);
  }
  for (const char* path : {"/", "/browser", "/browse/order", "/browse/order/3", "/x?/browse", ""}) {
    CAPTURE(path);
    REQUIRE(classifier.Classify(archive, "GET", path) == short_get);
  }
}

TEST_CASE("Only listed methods repeat, only on their route, and never on a disguised path") {
  const RequestClassifier classifier(Sample());
  const base::ServiceIndex archive{1};
  const auto repeats = [&](std::string_view method, std::string_view path) {
    return classifier.Classify(archive, method, path).is_idempotent;
  };
  for (const char* method : {"GET", "HEAD", "OPTIONS", "PUT", "DELETE"}) {
    REQUIRE(repeats(method, "/browse/order"));
  }
  REQUIRE(repeats("POST", "/browse/1"));
  REQUIRE(repeats("POST", "/browse?q=../order"));
  for (const char* path :
       {"/", "/browse/order", "/browser", "/browse/x/../order", "/browse//order", "/browse/%6frder",
        "/browse/./order", "/browse\\order", "/browse/order;v=1"}) {
    CAPTURE(path);
    REQUIRE_FALSE(repeats("POST", path));
  }
  REQUIRE_FALSE(repeats("PATCH", "/browse"));
  REQUIRE_FALSE(repeats("post", "/browse"));
  REQUIRE_FALSE(repeats("get", "/browse"));
}

}  // namespace mangonotch::table
