#!/usr/bin/env bash
# Formatter, linter and structure checks; any finding fails.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.cpp' '*.hpp')
clang-format --dry-run --Werror "${files[@]}"

# Decision slices do no I/O.
decisions='core codec configuration admission steering targets attempts lookup membership metrics crashers'
for slice in $decisions; do
  if grep -rnE '#include <(boost/(asio|beast)|nghttp2|spdlog|sys/|unistd)' \
       "src/$slice" "include/guavaline/$slice" 2>/dev/null; then
    echo "decision slice $slice does I/O"
    exit 1
  fi
done
if git ls-files src apps include | xargs grep -nE 'io_uring|shm_open|\bfork\(|execv|posix_spawn|std::system\('; then
  echo "ruled out in the product"
  exit 1
fi

cmake --preset release >/dev/null
mapfile -t units < <(git ls-files 'src/*.cpp' 'apps/*.cpp' 'testing/*.cpp' 'tests/*.cpp' 'bench/*.cpp')
printf '%s\n' "${units[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy -p build/release --quiet 2>/dev/null
echo "lint clean"
