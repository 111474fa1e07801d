// Entry point of the mangonotch binary.
int main() { return 0; }
