package barleyspur.decision;

/** What peers carry for us: lately in all, and at most for one of them, for when all are cold. */
final class Carried {

    final Rate rate;
    double best;

    Carried(double overMs) {
        rate = new Rate(overMs);
    }
}
