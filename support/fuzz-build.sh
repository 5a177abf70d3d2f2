# Sourced by the fuzz scripts: builds the targets and sets `targets`, to the arguments or to all.
build() {
    cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DORIOLELEVER_FUZZ=ON
    cmake --build build-fuzz --target fuzz
}
mkdir -p build-fuzz
build > build-fuzz/build.log 2>&1 || { cut -c 1-400 build-fuzz/build.log | tail -n 40; exit 1; }
targets=("$@")
if [ ${#targets[@]} -eq 0 ]; then
    for source in fuzz/*-fuzz.cc; do
        targets+=("$(basename "$source" .cc)")
    done
fi

# Prints the inputs that made a target fail.
print_finds() {
    local find
    for find in "build-fuzz/$1-finds"/*; do
        echo "fuzz $1: failed at $(basename "$find"), Base64: $(base64 -w 0 "$find")"
    done
}
